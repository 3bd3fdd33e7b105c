/** Whose connection is closed: one that is late with a head, or idle; and which one where there are too many. */
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { connect } from "node:net";
import { describe, it } from "node:test";
import { expect } from "earl";
import { MemoryMetrics } from "../state/MemoryMetrics.ts";
import { waitUntil } from "../../tests/support/conditions.ts";
import type { ConnectionTimeouts } from "./connectionTable.ts";
import { createConnectionTable } from "./connectionTable.ts";

const day = 86_400_000;

/** Starts a server that answers requests without a body, and holds those with one. */
const startServer = async (timeouts: ConnectionTimeouts, maximum: number) => {
  const metrics = new MemoryMetrics();
  const table = createConnectionTable({
    server: "test",
    maximum: () => maximum,
    timeouts: () => timeouts,
    metrics,
  });
  const server = createServer({ headersTimeout: 0, requestTimeout: 0 }, (message, response) => {
    table.noteRequest(message, response);
    if (message.headers["content-length"] === undefined) response.end();
  });
  server.on("connection", (socket) => table.add(socket));
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const sockets: Socket[] = [];
  const open = async (text = ""): Promise<Socket> => {
    const socket = connect(port, "127.0.0.1");
    socket.on("error", () => undefined);
    // A socket that isn't read closes only once it is.
    socket.resume();
    sockets.push(socket);
    await once(socket, "connect");
    if (text !== "") socket.write(text);
    return socket;
  };
  const total = (): number => table.count().reduce((sum, { value }) => sum + value, 0);
  return {
    metrics,
    table,
    open,
    total,
    /** @returns Connections in a state. */
    count: (state: string) => table.count().find(({ tags }) => tags.state === state)?.value,
    [Symbol.asyncDispose]: async () => {
      for (const socket of sockets) socket.destroy();
      await table[Symbol.asyncDispose]();
      server.close();
      server.closeAllConnections();
    },
  };
};

const partOfHead = "GET / HTTP/1.1\r\nhost: ";
const wholeHead = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
const partOfBody = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nx";

describe("a connection", () => {
  it("with part of a head is closed after the time for heads, one without a byte isn't late", async () => {
    await using server = await startServer({ head: 100, idle: day }, 10);
    const silent = await server.open();
    const late = await server.open(partOfHead);
    let answer = "";
    late.on("data", (chunk: Buffer) => (answer += chunk.toString()));
    await once(late, "close");
    expect(answer.startsWith("HTTP/1.1 408 ")).toEqual(true);
    expect([silent.destroyed, server.total()]).toEqual([false, 1]);
    silent.write(wholeHead);
    await once(silent, "data");
  });

  it("that is idle is closed after the idle time, new or used, and not while a request is in progress", async () => {
    await using server = await startServer({ head: day, idle: 100 }, 10);
    const busy = await server.open(partOfBody);
    const silent = await server.open();
    const used = await server.open(wholeHead);
    await Promise.all([once(silent, "close"), once(used, "close")]);
    expect([busy.destroyed, server.count("receiving")]).toEqual([false, 1]);
  });
});

describe("of too many connections", () => {
  it("the one that is idle for longest is closed", async () => {
    await using server = await startServer({ head: day, idle: day }, 2);
    const first = await server.open();
    await waitUntil(() => server.total() === 1);
    const second = await server.open(partOfHead);
    await waitUntil(() => server.total() === 2);
    const firstClosed = once(first, "close");
    const third = await server.open();
    await firstClosed;
    expect([second.destroyed, third.destroyed, server.total()]).toEqual([false, false, 2]);
  });

  it("the one whose request has been arriving for longest is closed if none is idle", async () => {
    await using server = await startServer({ head: day, idle: day }, 2);
    const first = await server.open(partOfBody);
    await waitUntil(() => server.count("receiving") === 1);
    const second = await server.open(partOfBody);
    await waitUntil(() => server.count("receiving") === 2);
    const firstClosed = once(first, "close");
    const third = await server.open(wholeHead);
    await Promise.all([firstClosed, once(third, "data")]);
    expect(second.destroyed).toEqual(false);
  });
});
