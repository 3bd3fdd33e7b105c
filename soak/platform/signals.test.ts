/** Signals that end a soak. */
import { spawn } from "node:child_process";
import { once } from "node:events";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { expect } from "earl";
import { waitUntil } from "../../tests/support/conditions.ts";

const soak = fileURLToPath(new URL("./main.js", import.meta.url));

const routers = 2;

const childrenOf = (processId: number): readonly number[] =>
  readFileSync(`/proc/${processId}/task/${processId}/children`, "utf8")
    .split(" ")
    .filter((text) => text.trim() !== "")
    .map(Number);

const isRunning = (processId: number): boolean => {
  try {
    return process.kill(processId, 0);
  } catch {
    return false;
  }
};

describe("a soak that is ended by a signal", () => {
  // Routers went on, and reached the stores and replicas of a later soak at ports that it got by then.
  it("ends its routers", async () => {
    const size = ["--routers", String(routers), "--engines", "1", "--desks", "1"];
    const running = spawn(process.execPath, [soak, "--seed", "1", "--seconds", "30", ...size], {
      stdio: "ignore",
    });
    const ended = once(running, "exit");
    await waitUntil(() => childrenOf(running.pid ?? 0).length === routers);
    const started = childrenOf(running.pid ?? 0);
    running.kill("SIGTERM");
    const [code] = (await ended) as [number | null];
    expect(code).toEqual(143);
    await waitUntil(() => !started.some(isRunning));
  });
});
