/** Closing the caller server: a request that arrives on an idle connection is still answered. */
import { connect } from "node:net";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { expect } from "earl";
import type { FrontEnd } from "../protocol/FrontEnd.ts";
import { MemoryMetrics } from "../state/MemoryMetrics.ts";
import { createTestIntake } from "../../tests/support/callerIntake.ts";
import { startCallerServer } from "./callerServer.ts";

const requestReadiness = (socket: Socket): Promise<string> =>
  new Promise((resolve, reject) => {
    socket.once("data", (data) => resolve(data.toString("utf8")));
    socket.once("close", () => reject(new TypeError("the connection was closed")));
    socket.write("GET /readyz HTTP/1.1\r\nhost: x\r\n\r\n");
  });

const waitForEnd = (socket: Socket): Promise<unknown> =>
  new Promise((resolve) => socket.once("end", resolve));

describe("a caller server that is closing", () => {
  it("still answers on a connection that was idle, and closes it after that answer", async () => {
    const frontEnd = { isReady: () => false } as unknown as FrontEnd;
    await using server = await startCallerServer(frontEnd, {
      address: "127.0.0.1",
      port: 0,
      keepAlive: 60_000,
      intake: createTestIntake(),
      maxConnections: 100,
      metrics: new MemoryMetrics(),
    });
    const socket = connect(Number(new URL(server.url).port), "127.0.0.1");
    expect(await requestReadiness(socket)).toMatchRegex(/^HTTP\/1.1 503 [\s\S]*connection: keep-alive/i);
    const closed = server.close();
    const end = waitForEnd(socket);
    expect(await requestReadiness(socket)).toMatchRegex(/^HTTP\/1.1 503 [\s\S]*connection: close/i);
    await end;
    await closed;
  });
});
