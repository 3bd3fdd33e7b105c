/** Runs the demo as a child process, with the stand-ins and routers that it starts. */
import { spawn } from "node:child_process";
import { createInterface } from "node:readline";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { expect } from "earl";

const demo = fileURLToPath(new URL("../demo/main.js", import.meta.url));

interface Description {
  readonly routers: readonly { readonly url: string; readonly processId: number }[];
  readonly organisations: readonly { readonly name: string; readonly key: string }[];
  readonly standIns: readonly { readonly kind: string; readonly processId: number }[];
}

const isAlive = (processId: number): boolean => {
  try {
    return process.kill(processId, 0);
  } catch {
    return false;
  }
};

describe("the demo", () => {
  it("gets a complete answer for every step of both sessions and exits with status 0", async () => {
    const child = spawn(process.execPath, [demo], { stdio: ["ignore", "pipe", "inherit"] });
    const lines: string[] = [];
    createInterface(child.stdout).on("line", (line) => lines.push(line));
    const code = await new Promise((resolve) => child.once("close", resolve));
    expect(code).toEqual(0);
    expect(lines.length).toEqual(12);
    expect(lines.slice(1).map((line) => line.split(/ +/).at(-1))).toEqual(
      Array.from({ length: 11 }, () => "complete"),
    );
  });

  it("prints a JSON description with --json and leaves no process running", async () => {
    const child = spawn(process.execPath, [demo, "--json"], { stdio: ["ignore", "pipe", "inherit"] });
    const ended = new Promise((resolve) => child.once("close", resolve));
    const line = await new Promise<string>((resolve) => createInterface(child.stdout).once("line", resolve));
    const { routers, organisations, standIns } = JSON.parse(line) as Description;
    const answer = await fetch(`${routers[0]?.url ?? ""}/v1/models`, {
      headers: { authorization: `Bearer ${organisations[0]?.key ?? ""}` },
    });
    expect(answer.status).toEqual(200);
    expect(routers.length).toEqual(3);
    expect(standIns.filter(({ kind }) => kind === "engine").length).toEqual(4);
    const processIds = [...routers, ...standIns].map(({ processId }) => processId);
    expect(processIds.every(isAlive)).toEqual(true);
    child.kill("SIGTERM");
    expect(await ended).toEqual(0);
    expect(processIds.some(isAlive)).toEqual(false);
  });
});
