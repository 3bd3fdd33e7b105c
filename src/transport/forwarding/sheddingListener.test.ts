import { once } from "node:events";
import type { Socket } from "node:net";
import { connect } from "node:net";
import { describe, it } from "node:test";
import { setImmediate as nextTurn, setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import { busyWait } from "../../../tests/support/busyWait.ts";
import { metricNames } from "../../state/constants.ts";
import { MemoryMetrics } from "../../state/MemoryMetrics.ts";
import { startSheddingListener } from "./sheddingListener.ts";

/** Milliseconds that the server works on each connection before it can accept the next. */
const connectionTime = 10;

/** Milliseconds within which a connection without others before it is accepted. */
const acceptTimeout = 2_000;

const start = async () => {
  const metrics = new MemoryMetrics();
  const accepted: Socket[] = [];
  const listener = await startSheddingListener({
    address: "127.0.0.1",
    port: 0,
    metrics,
    onConnection: (socket) => {
      socket.on("error", () => undefined);
      accepted.push(socket);
      busyWait(connectionTime);
    },
  });
  const callers: Socket[] = [];
  /** @returns Whether the connection was made, and is open a while later. */
  const open = async (): Promise<boolean> => {
    const caller = connect(listener.port, "127.0.0.1");
    callers.push(caller);
    try {
      await once(caller, "connect");
    } catch {
      return false;
    }
    const failed = once(caller, "error").then(
      () => true,
      () => true,
    );
    return !(await Promise.race([failed, sleep(1_500)]));
  };
  return {
    accepted,
    open,
    countClosures: () => metrics.snapshot()[metricNames.overloadClosures] ?? 0,
    [Symbol.asyncDispose]: async () => {
      for (const socket of [...callers, ...accepted]) socket.destroy();
      await listener[Symbol.asyncDispose]();
    },
  };
};

describe("a server that refuses connections while it is overloaded", () => {
  // One connection in each turn of the event loop was taken for a queue that is never empty.
  it("accepts all that come one after another, however long its turns are", async () => {
    await using server = await start();
    const connections = 60;
    for (let count = 1; count <= connections; count += 1) {
      void server.open();
      const until = performance.now() + acceptTimeout;
      while (server.accepted.length < count && performance.now() < until) await nextTurn();
    }
    expect([server.accepted.length, server.countClosures()]).toEqual([connections, 0]);
  });

  it("refuses those that would wait for long, and accepts new ones soon after", async () => {
    await using server = await start();
    const connections = 100;
    const outcomes = await Promise.all(Array.from({ length: connections }, () => server.open()));
    expect(server.countClosures() > 0).toEqual(true);
    expect(outcomes.filter((isOpen) => !isOpen).length > 0).toEqual(true);
    expect(outcomes.filter(Boolean).length > 0).toEqual(true);
    expect(await server.open()).toEqual(true);
  });
});
