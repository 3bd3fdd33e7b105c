/** Answers that end in every way while their readers pause; undici's own error would end the process of this test. */
import { EventEmitter, once } from "node:events";
import type { AddressInfo, Socket } from "node:net";
import { createServer } from "node:net";
import { describe, it } from "node:test";
import { setImmediate as nextLoopIteration, setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import type { Dispatcher, Pool } from "undici";
import type { Random } from "../../bench/model/random.ts";
import { createRandom } from "../../bench/model/random.ts";
import type { GuardedSocket } from "./connectionGuard.ts";
import { createConnectionGuard, createGuardedPool } from "./connectionGuard.ts";
import { createAnswerReader } from "./forwarding/answerReader.ts";

const framings = ["chunked", "counted", "unframed"] as const;
/** How an answer ends: whole, or early by an end or a reset, or whole and followed by one of them. */
const endings = ["whole", "endedEarly", "resetEarly", "wholeThenEnded", "wholeThenReset"] as const;

/** One answer and how it is read. Times are milliseconds. */
interface Plan {
  readonly framing: (typeof framings)[number];
  readonly ending: (typeof endings)[number];
  readonly closes: boolean;
  readonly frames: number;
  readonly frameBytes: number;
  /** Frames that are sent of an answer that ends early. */
  readonly sentFrames: number;
  readonly sendPause: number;
  readonly endDelay: number;
  readonly readPause: number;
  /** The chunk after which the reader stops for `stopTime`. */
  readonly stopAfter: number;
  readonly stopTime: number;
  /** Whether undici's own method reads it. */
  readonly usesRequest: boolean;
}

const pick = <T>(random: Random, values: readonly [T, ...T[]]): T =>
  values[random.index(values.length)] ?? values[0];

const createPlan = (random: Random): Plan => {
  const frames = 5 + random.index(80);
  return {
    framing: pick(random, framings),
    ending: pick(random, endings),
    closes: random.uniform() < 0.3,
    frames,
    frameBytes: random.uniform() < 0.02 ? 65_000 : 20 + random.index(2_000),
    sentFrames: random.index(frames),
    sendPause: pick(random, [0, 0, 1]),
    endDelay: pick(random, [0, 1, 5, 20]),
    readPause: pick(random, [0, 1, 3, 10]),
    stopAfter: random.index(40),
    stopTime: pick(random, [0, 10, 30, 60]),
    usesRequest: random.uniform() < 0.3,
  };
};

const isEarly = ({ ending }: Plan): boolean => ending === "endedEarly" || ending === "resetEarly";

const frameOf = (id: number, index: number, { frameBytes }: Plan): string =>
  `${id}:${index};`.padEnd(frameBytes, String.fromCharCode(97 + (index % 26)));

const bodyOf = (id: number, plan: Plan): string =>
  Array.from({ length: plan.frames }, (_, index) => frameOf(id, index, plan)).join("");

const headOf = ({ framing, frames, frameBytes, closes }: Plan): string =>
  [
    "HTTP/1.1 200 OK",
    ...(framing === "chunked" ? ["transfer-encoding: chunked"] : []),
    ...(framing === "counted" ? [`content-length: ${frames * frameBytes}`] : []),
    ...(closes || framing === "unframed" ? ["connection: close"] : []),
    "\r\n",
  ].join("\r\n");

const sendFrames = async (socket: Socket, id: number, plan: Plan): Promise<void> => {
  const count = isEarly(plan) ? plan.sentFrames : plan.frames;
  for (let index = 0; index < count && !socket.destroyed; index += 1) {
    const frame = frameOf(id, index, plan);
    socket.write(plan.framing === "chunked" ? `${frame.length.toString(16)}\r\n${frame}\r\n` : frame);
    if (plan.sendPause > 0 && index % 10 === 0) await sleep(plan.sendPause);
  }
  if (!isEarly(plan) && plan.framing === "chunked") socket.write("0\r\n\r\n");
};

/** Resets a connection between two writes: Node's own exit hangs if a socket is reset while one is under way. */
const reset = async (socket: Socket): Promise<void> => {
  while (socket.writableLength > 0 && !socket.destroyed) await sleep(1);
  if (!socket.writableEnded) socket.resetAndDestroy();
};

/** @param isReused - Whether another request has arrived on the connection since. */
const sendAnswer = async (socket: Socket, id: number, plan: Plan, isReused: () => boolean): Promise<void> => {
  socket.write(headOf(plan));
  await sendFrames(socket, id, plan);
  const { ending } = plan;
  const isLast = plan.closes || plan.framing === "unframed";
  if (ending !== "whole") await sleep(plan.endDelay);
  if (ending === "resetEarly" || ending === "wholeThenReset") await reset(socket);
  // Ended, a connection that is in use again would cut an answer without a length, which nobody could notice.
  else if ((ending !== "whole" || isLast) && !isReused()) socket.end();
};

const startReplica = async (plans: ReadonlyMap<number, Plan>) => {
  const server = createServer((socket) => {
    let text = "";
    let requests = 0;
    socket.on("error", () => undefined);
    socket.on("data", (data) => {
      text += data.toString("latin1");
      const id = Number(/^GET \/(\d+) [^]*\r\n\r\n$/.exec(text)?.[1]);
      const plan = plans.get(id);
      if (plan === undefined) return;
      text = "";
      requests += 1;
      const number = requests;
      void sendAnswer(socket, id, plan, () => requests !== number);
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return {
    origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    [Symbol.asyncDispose]: () => new Promise<void>((resolve) => server.close(() => resolve())),
  };
};

const openAnswer = async (pool: Pool, id: number, { usesRequest }: Plan): Promise<AsyncIterable<Buffer>> => {
  const options = { method: "GET", path: `/${id}` } as const;
  if (usesRequest) return (await pool.request(options)).body as AsyncIterable<Buffer>;
  const reader = createAnswerReader(() => true, new AbortController().signal);
  pool.dispatch(options, reader.handler);
  return (await reader.answer).body;
};

/** Reads an answer as its plan says. @returns What was read, and whether the answer ended without an error. */
const readAnswer = async (pool: Pool, id: number, plan: Plan) => {
  let text = "";
  let chunks = 0;
  try {
    for await (const chunk of await openAnswer(pool, id, plan)) {
      text += chunk.toString("latin1");
      chunks += 1;
      if (chunks === plan.stopAfter) await sleep(plan.stopTime);
      else if (chunks % 8 === 0) await sleep(plan.readPause);
    }
    return { text, isComplete: true };
  } catch {
    return { text, isComplete: false };
  }
};

const isRight = (
  plan: Plan,
  expected: string,
  { text, isComplete }: { text: string; isComplete: boolean },
) => {
  // The end of its connection is the only end that an answer without a length has.
  const endsUnnoticed = plan.framing === "unframed" && plan.ending === "endedEarly";
  return isComplete && !endsUnnoticed ? text === expected : expected.startsWith(text);
};

/** Reads answers over several connections. @returns The plans whose answers were read wrong. */
const readAll = async (seed: number, count: number, parallel: number): Promise<readonly Plan[]> => {
  const random = createRandom(seed, "connection-guard");
  const plans = new Map(Array.from({ length: count }, (_, id) => [id, createPlan(random)]));
  await using replica = await startReplica(plans);
  const pool = createGuardedPool(replica.origin, { connections: parallel, connectTimeout: 1_000 });
  const wrong: Plan[] = [];
  const rest = plans.entries();
  const readRest = async (): Promise<void> => {
    for (const [id, plan] of rest) {
      if (!isRight(plan, bodyOf(id, plan), await readAnswer(pool, id, plan))) wrong.push(plan);
    }
  };
  await Promise.all(Array.from({ length: parallel }, readRest));
  await pool.destroy();
  return wrong;
};

/** @returns Which callback a handler gets if an answer ends in an event of its socket, and if one ends afterwards. */
const endIn = async (
  event: "end" | "error",
  remoteAddress: string | undefined,
): Promise<{ readonly during: string; readonly after: string }> => {
  const guard = createConnectionGuard();
  const socket = Object.assign(new EventEmitter(), { remoteAddress, read: () => null });
  let called = "none";
  const handler = guard.guard({
    onRequestStart: () => undefined,
    onResponseEnd: () => (called = "end"),
    onResponseError: () => (called = "error"),
  });
  const controller = {} as Dispatcher.DispatchController;
  socket.on(event, () => handler.onResponseEnd?.(controller, {}));
  guard.watch(socket as unknown as GuardedSocket);
  socket.emit(event, new Error("reset"));
  const during = called;
  await nextLoopIteration();
  handler.onResponseEnd?.(controller, {});
  return { during, after: called };
};

describe("a guarded connection", () => {
  // An answer without a length that was reset counted as complete; any answer that ended while paused ended the router.
  for (const seed of [1, 2, 3]) {
    it(`delivers answers whole or as failed, however they end while their readers pause, seed ${seed}`, async () => {
      expect(await readAll(seed, 1_500, 24)).toEqual([]);
    });
  }

  // Undici's handler returns nothing for it, which is no pause: nobody would resume the answer.
  it("delivers an answer after an informational head", async () => {
    const server = createServer((socket) => {
      socket.once("data", () => {
        socket.write("HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n");
        setTimeout(() => socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"), 20);
      });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const pool = createGuardedPool(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, {
      connectTimeout: 1_000,
    });
    const answer = await pool.request({ method: "GET", path: "/", signal: AbortSignal.timeout(3_000) });
    expect([answer.statusCode, await answer.body.text()]).toEqual([200, "ok"]);
    await pool.destroy();
    server.close();
  });

  it("detects a reset by an error, or by an end without a remote address", async () => {
    expect(await endIn("error", "10.0.0.1")).toEqual({ during: "error", after: "end" });
    expect(await endIn("end", undefined)).toEqual({ during: "error", after: "end" });
    expect(await endIn("end", "10.0.0.1")).toEqual({ during: "end", after: "end" });
  });
});
