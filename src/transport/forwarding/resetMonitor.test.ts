import { EventEmitter } from "node:events";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { setImmediate as nextLoopIteration } from "node:timers/promises";
import { expect } from "earl";
import { createResetMonitor } from "./resetMonitor.ts";

/** What a listener that runs after the monitor's sees, during the event and afterwards. */
const observe = async (event: "end" | "error", remoteAddress: string | undefined) => {
  const monitor = createResetMonitor();
  const socket = Object.assign(new EventEmitter(), { remoteAddress });
  let during = false;
  socket.on(event, () => {
    during = monitor.isResetting();
  });
  monitor.monitor(socket as unknown as Socket);
  socket.emit(event, new Error("reset"));
  await nextLoopIteration();
  return { during, after: monitor.isResetting() };
};

describe("ResetMonitor", () => {
  it("detects a reset by an error, or by an end without a remote address", async () => {
    expect(await observe("error", "10.0.0.1")).toEqual({ during: true, after: false });
    expect(await observe("end", undefined)).toEqual({ during: true, after: false });
    expect(await observe("end", "10.0.0.1")).toEqual({ during: false, after: false });
  });
});
