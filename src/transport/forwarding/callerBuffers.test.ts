import { once } from "node:events";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import type { ForwardingWire } from "../../protocol/forwarding/ForwardingWire.ts";
import type { CallerRequest, ForwardedAnswer } from "../../protocol/forwarding/types.ts";
import { metricNames } from "../../state/constants.ts";
import { unreadTimeLimit } from "../../state/forwarding/callerMemory.ts";
import { MemoryMetrics } from "../../state/MemoryMetrics.ts";
import { createTestIntake } from "../../../tests/support/callerIntake.ts";
import { startForwardingServer } from "./forwardingServer.ts";

const bound = 1_000_000;

/** More than the operating system buffers for a connection that is not read. */
const largeBody = Buffer.alloc(24_000_000);

const chunk = Buffer.alloc(100_000);

/** Starts a server that answers `/whole` with a large body, `/stream` with an endless one, and others at once. */
const start = async (callerBufferBytes: number) => {
  const metrics = new MemoryMetrics();
  const streams = { reads: 0, ended: 0 };
  const createStream = async function* (signal: AbortSignal): AsyncGenerator<Buffer> {
    while (!signal.aborted) {
      streams.reads += 1;
      yield chunk;
      await sleep(2);
    }
  };
  const forward = ({ target }: CallerRequest, signal: AbortSignal): Promise<ForwardedAnswer> => {
    signal.addEventListener("abort", () => {
      streams.ended += 1;
    });
    const bodies = new Map<string, ForwardedAnswer["body"]>([
      ["/whole", largeBody],
      ["/stream", createStream(signal)],
    ]);
    const body = bodies.get(target) ?? Buffer.from("small");
    return Promise.resolve({ status: 200, headers: [], body } as unknown as ForwardedAnswer);
  };
  const server = await startForwardingServer({
    address: "127.0.0.1",
    port: 0,
    wire: { decodeRequest: (request: unknown) => request } as unknown as ForwardingWire,
    admitHead: () => "",
    forward,
    limits: () => undefined,
    intake: createTestIntake(),
    maxConnections: 100,
    name: "callers",
    shouldCloseConnections: () => false,
    callerBufferBytes,
    metrics,
  });
  const sockets: Socket[] = [];
  /** Sends a request and reads nothing of its answer. */
  const callWithoutReading = async (target: string): Promise<Socket> => {
    const socket = connect(server.port, "127.0.0.1");
    socket.on("error", () => undefined);
    sockets.push(socket);
    await once(socket, "connect");
    socket.pause();
    socket.write(`GET ${target} HTTP/1.1\r\nhost: a\r\n\r\n`);
    return socket;
  };
  return {
    metrics,
    streams,
    callWithoutReading,
    call: () => fetch(`http://127.0.0.1:${server.port}/small`),
    [Symbol.asyncDispose]: async () => {
      for (const socket of sockets) socket.destroy();
      await server[Symbol.asyncDispose]();
    },
  };
};

const countOf = (metrics: MemoryMetrics, name: string): number => metrics.snapshot()[name] ?? 0;

describe("callers that stop reading", () => {
  it("cause refusals as not run until they are disconnected, and then none", async () => {
    await using system = await start(bound);
    expect((await system.call()).status).toEqual(200);
    await system.callWithoutReading("/whole");
    await sleep(600);
    const refused = await system.call();
    expect(refused.status).toEqual(503);
    expect(refused.headers.get("retry-after")).toEqual("1.00");
    expect(await refused.text()).toMatchRegex(/callers_too_slow.*not_run/);
    await sleep(unreadTimeLimit + 500);
    expect((await system.call()).status).toEqual(200);
    expect(countOf(system.metrics, metricNames.callersCutOff)).toEqual(1);
  });

  // Guards against a router that runs out of memory because many callers each hold little.
  it("are stopped or disconnected while their streams exceed the bound, and others are served after that", async () => {
    await using system = await start(bound);
    const callers = 30;
    for (let index = 0; index < callers; index += 1) await system.callWithoutReading("/stream");
    await sleep(unreadTimeLimit + 2_500);
    const cutOff = countOf(system.metrics, metricNames.callersCutOff);
    // A caller holds one or two chunks; some ten callers fit into the bound.
    expect(cutOff > 0 && cutOff < callers).toEqual(true);
    expect(system.streams.ended).toEqual(cutOff);
    expect((await system.call()).status).toEqual(200);
    const { reads } = system.streams;
    await sleep(500);
    expect(system.streams.reads).toEqual(reads);
  });

  it("change nothing where there is no bound", async () => {
    await using system = await start(0);
    await system.callWithoutReading("/whole");
    await sleep(unreadTimeLimit + 800);
    expect((await system.call()).status).toEqual(200);
    expect(countOf(system.metrics, metricNames.callersCutOff)).toEqual(0);
  });
});
