import { once } from "node:events";
import { Agent, createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, it } from "node:test";
import { expect } from "earl";
import type { PlannedRequest } from "./callers.ts";
import { sendPlanned } from "./callers.ts";

const chunk = "a".repeat(2_000);
/** Read slowly, they take longer than the caller stays. */
const chunkCount = 20;

/** Starts a server whose answers fit into one read of the caller's socket. */
const startServer = async () => {
  const server = createServer((_, response) => {
    response.cork();
    for (let count = 0; count < chunkCount; count += 1) response.write(chunk);
    response.end();
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return {
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    [Symbol.asyncDispose]: async () => {
      server.closeAllConnections();
      server.close();
      await once(server, "close");
    },
  };
};

const planned: PlannedRequest = {
  id: "request-1",
  name: "read",
  key: "key",
  organisation: "one",
  sentBody: "",
  disconnects: true,
  prompt: undefined,
  padding: 0,
  reading: "slow",
};

describe("callers of the platform soak", () => {
  // Node reports the end of the answer, and that it is complete, after it has dropped what was not read.
  it("don't count an answer as whole if they left before they had read it", async () => {
    await using server = await startServer();
    const agent = new Agent();
    const answer = await sendPlanned(agent, { name: "router-0", url: server.url }, planned);
    agent.destroy();
    expect([answer.hasDisconnected, answer.isCut]).toEqual([true, true]);
  });
});
