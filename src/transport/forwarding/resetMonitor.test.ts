import { EventEmitter } from "node:events";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { expect } from "earl";
import { createResetWatch } from "./resetMonitor.ts";

/** What later listeners of an event see. */
const seenAt = async (event: "end" | "error", remoteAddress: string | undefined) => {
  const watch = createResetWatch();
  const socket = Object.assign(new EventEmitter(), { remoteAddress });
  let during = false;
  socket.on(event, () => {
    during = watch.isResetting();
  });
  watch.watch(socket as unknown as Socket);
  socket.emit(event, new Error("reset"));
  await nextTurn();
  return { during, after: watch.isResetting() };
};

describe("a reset", () => {
  it("is told from an ordinary end by the error, or by the peer that is gone", async () => {
    expect(await seenAt("error", "10.0.0.1")).toEqual({ during: true, after: false });
    expect(await seenAt("end", undefined)).toEqual({ during: true, after: false });
    expect(await seenAt("end", "10.0.0.1")).toEqual({ during: false, after: false });
  });
});
