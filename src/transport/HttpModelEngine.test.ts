/** Over connections that are used again and again, each call gets its own answer or a typed failure. */
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { Agent } from "undici";
import { UpstreamError } from "../protocol/errors.ts";
import type { EngineCall } from "../protocol/types.ts";
import { connectionFailure } from "./httpFailures.ts";
import { HttpModelEngine } from "./HttpModelEngine.ts";

/** What the server does with one request. */
type Deed =
  | "answer"
  | "crossed_header"
  | "crossed_chunk"
  | "chunk_without_id"
  | "twice"
  | "goes_on_after_end"
  | "late"
  | "other_first"
  | "swap_with_next";

const deeds: readonly Deed[] = [
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
/** Heads and bodies are ended by what the body of `createCall` ends with. */
const wholeRequest = /^POST [^]*?"question"}\]}/;
const clients = 6;
const words = 4;

const wordOf = (attempt: string, index: number): string => ` ${attempt}:${index}`;
const textOf = (attempt: string): string =>
  Array.from({ length: words }, (_, index) => wordOf(attempt, index)).join("");

const event = (id: string | undefined, text: string): string =>
  `data: ${JSON.stringify({ id, choices: [{ delta: { content: text }, finish_reason: null }] })}\n\n`;

/** A whole HTTP answer in one chunk, so that the connection stays open for others. */
const frameAnswer = (attempt: string, body: string): string =>
  `HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-attempt-id: ${attempt}\r\n` +
  `transfer-encoding: chunked\r\n\r\n${Buffer.byteLength(body).toString(16)}\r\n${body}\r\n0\r\n\r\n`;

const bodyOf = (id: string | undefined, attempt: string): string =>
  Array.from({ length: words }, (_, index) => event(id, wordOf(attempt, index))).join("") +
  "data: [DONE]\n\n";

const writeDeed = (deed: Deed, attempt: string): string => {
  const own = frameAnswer(attempt, bodyOf(attempt, attempt));
  const others = frameAnswer("other", bodyOf("other", "other"));
  if (deed === "crossed_header") return frameAnswer("other", bodyOf(attempt, attempt));
  if (deed === "crossed_chunk") return frameAnswer(attempt, bodyOf("other", "other"));
  if (deed === "chunk_without_id") return frameAnswer(attempt, bodyOf(undefined, "other"));
  if (deed === "twice") return own + own;
  if (deed === "other_first") return others + own;
  if (deed === "goes_on_after_end") {
    return frameAnswer(attempt, bodyOf(attempt, attempt) + event(attempt, " more"));
  }
  return own;
};

/** A server on bare sockets, which writes what no HTTP library would let it write. */
const startCrossing = async (plan: readonly Deed[]) => {
  const sockets = new Set<Socket>();
  let requests = 0;
  let held: { readonly socket: Socket; readonly attempt: string } | undefined;

  const serve = (socket: Socket, attempt: string): void => {
    const deed = plan[requests % plan.length] ?? "answer";
    requests += 1;
    if (held !== undefined) {
      // The two answers go to one another's callers.
      held.socket.write(writeDeed("answer", attempt));
      socket.write(writeDeed("answer", held.attempt));
      held = undefined;
    } else if (deed === "swap_with_next" && requests < clients) {
      held = { socket, attempt };
    } else if (deed === "late") {
      setTimeout(() => socket.write(writeDeed("answer", attempt)), 30);
    } else {
      socket.write(writeDeed(deed, attempt));
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

const createCall = (attempt: string): EngineCall => ({
  attempt,
  organisation: "petra-wings",
  request: {
    kind: "chat",
    model: "model",
    adapter: undefined,
    stream: true,
    includeUsage: false,
    maximumTokens: 10,
    body: { messages: [{ role: "user", content: "question" }] },
    segments: [],
  },
  idempotencyKey: undefined,
  priority: 0,
  cacheSalt: "",
  delivered: { text: "", tokens: 0 },
  stallTimeout: 300,
});

/** @returns The text that came, and the failure that ended it. */
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
  it("gives each call its own answer or a typed failure, however answers cross", async () => {
    let whole = 0;
    const step = fc.record({ deed: fc.constantFrom(...deeds), giveUp: fc.boolean() });
    await fc.assert(
      fc.asyncProperty(
        fc.array(step, { minLength: clients, maxLength: clients }),
        fc.integer({ min: 1, max: 3 }),
        async (steps, connections) => {
          await using server = await startCrossing(steps.map(({ deed }) => deed));
          const pool = new Agent({ connections, pipelining: 1 });
          const engine = new HttpModelEngine(server.url, pool);
          const answers = steps.map(async ({ giveUp }, index) => {
            const attempt = `attempt-${index}`;
            const signal = giveUp ? AbortSignal.timeout(15) : AbortSignal.timeout(600);
            return { attempt, ...(await readAnswer(engine, attempt, signal)) };
          });
          for (const { attempt, text, failure } of await Promise.all(answers)) {
            expect(textOf(attempt).startsWith(text)).toEqual(true);
            if (failure !== undefined) continue;
            expect(text).toEqual(textOf(attempt));
            whole += 1;
          }
          await pool.destroy();
        },
      ),
      { seed: 11, numRuns: 60 },
    );
    expect(whole).toBeGreaterThan(60);
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
  for (const [deed, fault] of faults) {
    it(`takes ${deed} as ${fault ?? "the answer"}`, async () => {
      await using server = await startCrossing([deed]);
      const pool = new Agent({ connections: 1, pipelining: 1 });
      const engine = new HttpModelEngine(server.url, pool);
      const answer = await readAnswer(engine, "attempt-0", new AbortController().signal);
      expect(answer.failure?.fault).toEqual(fault);
      await pool.destroy();
    });
  }

  it("takes a connect failure's code on an open connection for a request that may have run", () => {
    const broken = (syscall: string) => Object.assign(new Error("broken"), { code: "EHOSTUNREACH", syscall });
    expect(connectionFailure(broken("connect"), "sent").progress).toEqual("not_sent");
    expect(connectionFailure(broken("read"), "sent").progress).toEqual("sent");
    expect(connectionFailure(broken("connect"), "streaming").progress).toEqual("streaming");
  });
});
