/** A call is sent once, whatever happens to its connection: counted are requests as they arrive. */
import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { describe, it } from "node:test";
import { expect } from "earl";
import { Agent } from "undici";
import type { UpstreamError } from "../protocol/errors.ts";
import type { ServiceCall } from "../protocol/types.ts";
import { HttpPlainService } from "./HttpPlainService.ts";

type Behaviour = (socket: Socket, attempt: string) => void;

const answer: Behaviour = (socket, attempt) =>
  void socket.write(`HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-attempt-id: ${attempt}\r\n\r\nok`);

/** Reads whole requests and does with each what the next behaviour says. */
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

const told = async (service: HttpPlainService, what: ServiceCall): Promise<string> => {
  try {
    return `answered ${(await service.call(what, new AbortController().signal)).status}`;
  } catch (error) {
    const { fault, progress } = error as UpstreamError;
    return `${fault} ${progress}`;
  }
};

const cases: readonly (readonly [string, Behaviour, string])[] = [
  ["is reset after the request was read", (socket) => void socket.resetAndDestroy(), "closed_early sent"],
  ["is ended after the request was read", (socket) => void socket.end(), "closed_early sent"],
  [
    "is cut in the middle of the answer",
    (socket, attempt) =>
      void socket.end(`HTTP/1.1 200 OK\r\ncontent-length: 9\r\nx-attempt-id: ${attempt}\r\n\r\nok`),
    "closed_early sent",
  ],
];

describe("a connection to a plain service", () => {
  for (const method of ["POST", "GET"]) {
    for (const [name, behaviour, expected] of cases) {
      for (const pipelining of [0, 1]) {
        it(`that ${name} has had the ${method} once (pipelining ${pipelining})`, async () => {
          await using replica = await startReplica([answer, behaviour, answer]);
          const pool = new Agent({ pipelining });
          const service = new HttpPlainService(replica.url, pool);
          // The second call goes over a connection that was kept, where one is.
          expect(await told(service, call("first", method))).toEqual("answered 200");
          expect(await told(service, call("second", method))).toEqual(expected);
          expect(replica.attempts).toEqual(["first", "second"]);
          await pool.destroy();
        });
      }
    }
  }

  it("that cannot be made has sent nothing", async () => {
    const { url } = await startReplica([]).then(async (replica) => {
      await replica[Symbol.asyncDispose]();
      return replica;
    });
    const pool = new Agent();
    expect(await told(new HttpPlainService(url, pool), call("first", "POST"))).toEqual(
      "unreachable not_sent",
    );
    await pool.destroy();
  });
});
