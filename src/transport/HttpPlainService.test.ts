/** Checks that a call is sent once, whatever happens to its connection; the replica records what it receives. */
import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { describe, it } from "node:test";
import { expect } from "earl";
import type { UpstreamError } from "../protocol/errors.ts";
import type { ServiceCall } from "../protocol/types.ts";
import { createGuardedAgent } from "./connectionGuard.ts";
import { HttpPlainService } from "./HttpPlainService.ts";

type Behaviour = (socket: Socket, attempt: string) => void;

const answer: Behaviour = (socket, attempt) =>
  void socket.write(`HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-attempt-id: ${attempt}\r\n\r\nok`);

/** Starts a replica that reads whole requests and applies the next behaviour to each. */
const startReplica = async (behaviours: readonly Behaviour[]) => {
  const attempts: string[] = [];
  const server = createServer((socket) => {
    let text = "";
    socket.on("error", () => undefined);
    socket.on("data", (data) => {
      text += data.toString("utf8");
      if (!text.endsWith("\r\n\r\n") && !text.endsWith("{}")) return;
      const attempt = /x-attempt-id: (\S+)/i.exec(text)?.[1] ?? "";
      text = "";
      attempts.push(attempt);
      behaviours[attempts.length - 1]?.(socket, attempt);
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    attempts,
    [Symbol.asyncDispose]: () => new Promise<void>((resolve) => server.close(() => resolve())),
  };
};

const call = (attempt: string, method: string): ServiceCall => ({
  attempt,
  organisation: "petra-wings",
  method,
  path: "/sign-offs",
  contentType: "application/json",
  idempotencyKey: undefined,
  body: method === "GET" ? undefined : Buffer.from("{}"),
  timeout: 2_000,
});

const outcomeOf = async (service: HttpPlainService, serviceCall: ServiceCall): Promise<string> => {
  try {
    return `answered ${(await service.call(serviceCall, new AbortController().signal)).status}`;
  } catch (error) {
    const { fault, progress } = error as UpstreamError;
    return `${fault} ${progress}`;
  }
};

/** Milliseconds. */
const connectTimeout = 1_000;

const cases: readonly (readonly [string, Behaviour, string])[] = [
  ["is reset after the request was read", (socket) => void socket.resetAndDestroy(), "closed_early sent"],
  ["is ended after the request was read", (socket) => void socket.end(), "closed_early sent"],
  [
    "is cut in the middle of the answer",
    (socket, attempt) =>
      void socket.end(`HTTP/1.1 200 OK\r\ncontent-length: 9\r\nx-attempt-id: ${attempt}\r\n\r\nok`),
    "closed_early sent",
  ],
  [
    // The part that had arrived was passed on as a complete answer.
    "is reset in the middle of an answer without a length",
    (socket, attempt) => {
      socket.write(`HTTP/1.1 200 OK\r\nx-attempt-id: ${attempt}\r\n\r\nok`);
      setTimeout(() => socket.resetAndDestroy(), 20);
    },
    "closed_early sent",
  ],
];

describe("HttpPlainService", () => {
  for (const method of ["POST", "GET"]) {
    for (const [name, behaviour, expected] of cases) {
      for (const pipelining of [0, 1]) {
        it(`if the connection ${name}, sends the ${method} once (pipelining ${pipelining})`, async () => {
          await using replica = await startReplica([answer, behaviour, answer]);
          const pool = createGuardedAgent({ pipelining, connectTimeout });
          const service = new HttpPlainService(replica.url, pool);
          // The second call reuses the first one's connection if that was kept open.
          expect(await outcomeOf(service, call("first", method))).toEqual("answered 200");
          expect(await outcomeOf(service, call("second", method))).toEqual(expected);
          expect(replica.attempts).toEqual(["first", "second"]);
          await pool.destroy();
        });
      }
    }
  }

  it("sends nothing if the connection cannot be opened", async () => {
    const { url } = await startReplica([]).then(async (replica) => {
      await replica[Symbol.asyncDispose]();
      return replica;
    });
    const pool = createGuardedAgent({ connectTimeout });
    expect(await outcomeOf(new HttpPlainService(url, pool), call("first", "POST"))).toEqual(
      "unreachable not_sent",
    );
    await pool.destroy();
  });
});
