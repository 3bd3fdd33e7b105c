/** Checks that on reused connections each call gets its own answer or a typed failure. */
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { Agent } from "undici";
import { UpstreamError } from "../protocol/errors.ts";
import { createCall } from "../../tests/support/engineCall.ts";
import { connectionFailure } from "./httpFailures.ts";
import { HttpModelEngine } from "./HttpModelEngine.ts";

/** How the server answers one request. */
type Behaviour =
  | "answer"
  | "crossed_header"
  | "crossed_chunk"
  | "chunk_without_id"
  | "twice"
  | "goes_on_after_end"
  | "late"
  | "other_first"
  | "swap_with_next";

const behaviours: readonly Behaviour[] = [
  "answer",
  "crossed_header",
  "crossed_chunk",
  "chunk_without_id",
  "twice",
  "goes_on_after_end",
  "late",
  "other_first",
  "swap_with_next",
];
/** Matches one request up to the end of the body that `createCall` makes. */
const wholeRequest = /^POST [^]*?"question"}\]}/;
const callCount = 6;
const tokenCount = 4;

const tokenText = (attempt: string, index: number): string => ` ${attempt}:${index}`;
const fullText = (attempt: string): string =>
  Array.from({ length: tokenCount }, (_, index) => tokenText(attempt, index)).join("");

const event = (id: string | undefined, text: string): string =>
  `data: ${JSON.stringify({ id, choices: [{ delta: { content: text }, finish_reason: null }] })}\n\n`;

/** An HTTP response with its body in one chunk, so that the connection stays open for further requests. */
const encodeResponse = (attempt: string, body: string): string =>
  `HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-attempt-id: ${attempt}\r\n` +
  `transfer-encoding: chunked\r\n\r\n${Buffer.byteLength(body).toString(16)}\r\n${body}\r\n0\r\n\r\n`;

const streamBody = (id: string | undefined, attempt: string): string =>
  Array.from({ length: tokenCount }, (_, index) => event(id, tokenText(attempt, index))).join("") +
  "data: [DONE]\n\n";

const writeAnswer = (behaviour: Behaviour, attempt: string): string => {
  const own = encodeResponse(attempt, streamBody(attempt, attempt));
  const others = encodeResponse("other", streamBody("other", "other"));
  if (behaviour === "crossed_header") return encodeResponse("other", streamBody(attempt, attempt));
  if (behaviour === "crossed_chunk") return encodeResponse(attempt, streamBody("other", "other"));
  if (behaviour === "chunk_without_id") return encodeResponse(attempt, streamBody(undefined, "other"));
  if (behaviour === "twice") return own + own;
  if (behaviour === "other_first") return others + own;
  if (behaviour === "goes_on_after_end") {
    return encodeResponse(attempt, streamBody(attempt, attempt) + event(attempt, " more"));
  }
  return own;
};

/** Starts a server on plain sockets, which can send responses that an HTTP library would not allow. */
const startFaultyServer = async (plan: readonly Behaviour[]) => {
  const sockets = new Set<Socket>();
  let requests = 0;
  let pendingSwap: { readonly socket: Socket; readonly attempt: string } | undefined;

  const serve = (socket: Socket, attempt: string): void => {
    const behaviour = plan[requests % plan.length] ?? "answer";
    requests += 1;
    if (pendingSwap !== undefined) {
      // Each of the two answers goes to the other's caller.
      pendingSwap.socket.write(writeAnswer("answer", attempt));
      socket.write(writeAnswer("answer", pendingSwap.attempt));
      pendingSwap = undefined;
    } else if (behaviour === "swap_with_next" && requests < callCount) {
      pendingSwap = { socket, attempt };
    } else if (behaviour === "late") {
      setTimeout(() => socket.write(writeAnswer("answer", attempt)), 30);
    } else {
      socket.write(writeAnswer(behaviour, attempt));
    }
  };

  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    let read = "";
    socket.on("data", (bytes) => {
      read += bytes.toString("utf8");
      for (let match = wholeRequest.exec(read); match !== null; match = wholeRequest.exec(read)) {
        read = read.slice(match[0].length);
        serve(socket, /x-attempt-id: (\S+)/.exec(match[0])?.[1] ?? "");
      }
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    [Symbol.asyncDispose]: async () => {
      for (const socket of sockets) socket.destroy();
      await new Promise((resolve) => server.close(resolve));
    },
  };
};

/** @returns The text that was received, and the failure that ended the answer, if any. */
const readAnswer = async (engine: HttpModelEngine, attempt: string, signal: AbortSignal) => {
  let text = "";
  try {
    const answer = await engine.complete(createCall(attempt), signal);
    for await (const frames of answer.frames) text += frames.map((frame) => frame.text).join("");
    return { text, failure: undefined };
  } catch (error) {
    if (!(error instanceof UpstreamError)) throw error;
    return { text, failure: error };
  }
};

describe("HttpModelEngine over reused connections", () => {
  it("gives each call its own answer or a typed failure, however answers are mixed up", async () => {
    let completeAnswers = 0;
    const step = fc.record({ behaviour: fc.constantFrom(...behaviours), giveUp: fc.boolean() });
    await fc.assert(
      fc.asyncProperty(
        fc.array(step, { minLength: callCount, maxLength: callCount }),
        fc.integer({ min: 1, max: 3 }),
        async (steps, connections) => {
          await using server = await startFaultyServer(steps.map(({ behaviour }) => behaviour));
          const pool = new Agent({ connections, pipelining: 1 });
          const engine = new HttpModelEngine(server.url, pool);
          const answers = steps.map(async ({ giveUp }, index) => {
            const attempt = `attempt-${index}`;
            const signal = giveUp ? AbortSignal.timeout(15) : AbortSignal.timeout(600);
            return { attempt, ...(await readAnswer(engine, attempt, signal)) };
          });
          for (const { attempt, text, failure } of await Promise.all(answers)) {
            expect(fullText(attempt).startsWith(text)).toEqual(true);
            if (failure !== undefined) continue;
            expect(text).toEqual(fullText(attempt));
            completeAnswers += 1;
          }
          await pool.destroy();
        },
      ),
      { seed: 11, numRuns: 60 },
    );
    expect(completeAnswers).toBeGreaterThan(60);
  });

  const faults = [
    ["answer", undefined],
    ["twice", undefined],
    ["crossed_header", "crossed"],
    ["crossed_chunk", "crossed"],
    ["chunk_without_id", "crossed"],
    ["other_first", "crossed"],
    ["goes_on_after_end", "malformed"],
  ] as const;
  for (const [behaviour, fault] of faults) {
    it(`treats ${behaviour} as ${fault ?? "the answer"}`, async () => {
      await using server = await startFaultyServer([behaviour]);
      const pool = new Agent({ connections: 1, pipelining: 1 });
      const engine = new HttpModelEngine(server.url, pool);
      const answer = await readAnswer(engine, "attempt-0", new AbortController().signal);
      expect(answer.failure?.fault).toEqual(fault);
      await pool.destroy();
    });
  }

  it("treats a connect error code on an open connection as a request that may have run", () => {
    const broken = (syscall: string) => Object.assign(new Error("broken"), { code: "EHOSTUNREACH", syscall });
    expect(connectionFailure(broken("connect"), "sent").progress).toEqual("not_sent");
    expect(connectionFailure(broken("read"), "sent").progress).toEqual("sent");
    expect(connectionFailure(broken("connect"), "streaming").progress).toEqual("streaming");
  });
});
