import { describe, it } from "node:test";
import { expect } from "earl";
import { createParser } from "eventsource-parser";
import fc from "fast-check";
import { upstreamError } from "../../protocol/errors.ts";
import type { AttemptLoop } from "./attemptLoop.ts";
import type { StartedAnswer } from "./forwardAttempt.ts";
import type { ForwardRun } from "./forwardRun.ts";
import { relayStream } from "./streamRelay.ts";

const eventCount = 5;

/** How one replica writes the stream, and after how many bytes it breaks off; `undefined` if it doesn't. */
interface Writing {
  readonly lineEnd: string;
  readonly prefix: string;
  readonly comment: string;
  readonly chunkLength: number;
  readonly breakAfter: number | undefined;
}

const textOf = ({ lineEnd, prefix, comment }: Writing, after: number): string => {
  const ids = Array.from({ length: eventCount - after }, (_, index) => after + index + 1);
  const events = ids.map((id) => `${comment}id: ${id}\ndata: ${id}\n\n`);
  return [prefix, ...events, comment].join("").replaceAll("\n", lineEnd);
};

const chunksOf = async function* (writing: Writing, after: number): AsyncGenerator<Buffer, void> {
  const bytes = Buffer.from(textOf(writing, after));
  const end = Math.min(writing.breakAfter ?? bytes.length, bytes.length);
  for (let from = 0; from < end; from += writing.chunkLength)
    yield await Promise.resolve(bytes.subarray(from, Math.min(end, from + writing.chunkLength)));
  if (end < bytes.length) throw upstreamError("broken off", "closed_early", "streaming");
};

const answerOf = (writing: Writing, after: number): StartedAnswer => ({
  head: { status: 200 } as StartedAnswer["head"],
  firstChunks: [],
  rest: chunksOf(writing, after),
});

/** Relays a stream whose replicas write it in turn; the last one doesn't break off. */
const relay = async (writings: readonly Writing[]): Promise<string> => {
  const [first, ...others] = writings;
  if (first === undefined) throw new Error("no replica");
  let next = 0;
  const loop: AttemptLoop = {
    begin: (_, lastEventId) => {
      const writing = others[next];
      next += 1;
      if (writing === undefined) throw new Error("no other replica");
      return Promise.resolve(answerOf(writing, Number(lastEventId ?? 0)));
    },
    mayRetry: () => Promise.resolve(true),
  };
  const run = {
    request: { id: "request", lastEventId: undefined },
    admission: { route: { kind: "resumableEventStream" } },
  } as unknown as ForwardRun;
  const chunks: Buffer[] = [];
  for await (const chunk of relayStream(loop, run, answerOf(first, 0))) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
};

const dataOf = (text: string): readonly string[] => {
  const data: string[] = [];
  const parser = createParser({ onEvent: (event) => data.push(event.data) });
  // A carriage return at the end of the text may be half of a line end.
  parser.feed(`${text}\n`);
  return data;
};

describe("a resumable stream that breaks off again and again", () => {
  it("has each event once and in order, wherever it breaks off and however replicas write it", async () => {
    const writing = (breakAfter: fc.Arbitrary<number | undefined>): fc.Arbitrary<Writing> =>
      fc.record({
        lineEnd: fc.constantFrom("\n", "\r\n", "\r"),
        prefix: fc.constantFrom("", "\uFEFF"),
        comment: fc.constantFrom("", ": ping\n", ": ping\n\n"),
        chunkLength: fc.integer({ min: 1, max: 200 }),
        breakAfter,
      });
    const breaking = fc.array(writing(fc.nat(180)), { maxLength: 6 });
    await fc.assert(
      fc.asyncProperty(breaking, writing(fc.constant(undefined)), async (broken, whole) => {
        const expected = Array.from({ length: eventCount }, (_, index) => String(index + 1));
        expect(dataOf(await relay([...broken, whole]))).toEqual(expected);
      }),
      { seed: 73, numRuns: 500 },
    );
  });
});
