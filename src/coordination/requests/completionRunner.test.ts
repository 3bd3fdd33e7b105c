import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { upstreamError } from "../../protocol/errors.ts";
import type { UpstreamFault } from "../../protocol/errors.ts";
import {
  createRunnerFixture,
  lastFrame,
  textFrame,
  untilAborted,
} from "../../../tests/support/runnerFixture.ts";
import type { EngineScript } from "../../../tests/support/runnerFixture.ts";

const words = Array.from({ length: 12 }, (_, index) => ` word${index}`);
const wholeText = words.join("");

/** @returns The words after the delivered text, which must end at a word boundary. */
const wordsAfter = (delivered: string): readonly string[] => {
  const count = delivered === "" ? 0 : delivered.split(" ").length - 1;
  expect(delivered).toEqual(words.slice(0, count).join(""));
  return words.slice(count);
};

const answerCompletely: EngineScript = async function* ({ delivered }) {
  await Promise.resolve();
  for (const word of wordsAfter(delivered.text)) yield [textFrame(word)];
  yield [lastFrame];
};

const failWith = (fault: UpstreamFault) => upstreamError("scripted", fault, "streaming");

describe("createCompletionRunner", () => {
  it("delivers the whole text in order, or a typed error, for any sequence of engine failures", async () => {
    const attempt = fc.record({
      pieces: fc.nat(5),
      perBatch: fc.integer({ min: 1, max: 3 }),
      fault: fc.constantFrom<UpstreamFault>("closed_early", "stalled", "malformed", "crossed"),
    });
    await fc.assert(
      fc.asyncProperty(fc.array(attempt, { maxLength: 10 }), async (attempts) => {
        let next = 0;
        const fixture = createRunnerFixture(async function* (call, id, signal) {
          const plan = attempts[next];
          next += 1;
          if (plan === undefined) {
            yield* answerCompletely(call, id, signal);
            return;
          }
          await Promise.resolve();
          const pieces = wordsAfter(call.delivered.text).slice(0, plan.pieces).map(textFrame);
          for (let start = 0; start < pieces.length; start += plan.perBatch) {
            yield pieces.slice(start, start + plan.perBatch);
          }
          throw failWith(plan.fault);
        });
        const view = await fixture.finish(fixture.read());
        expect(wholeText.startsWith(view.text)).toEqual(true);
        const ends = view.frames.filter(({ finishReason }) => finishReason !== undefined).length;
        if (view.failure === undefined) expect([view.text, ends]).toEqual([wholeText, 1]);
        else expect([view.failure.outcome, ends]).toEqual(["failed", 0]);
      }),
      { seed: 5, numRuns: 200 },
    );
  });

  it("does not continue an answer with tool calls on another engine", async () => {
    const fixture = createRunnerFixture(async function* () {
      await Promise.resolve();
      yield [{ ...textFrame(""), extra: { tool_calls: [{ index: 0, id: "call" }] } }];
      throw failWith("closed_early");
    });
    const view = await fixture.finish(fixture.read());
    expect(view.failure?.code).toEqual("stream_interrupted");
    expect(fixture.notes.calls.length).toEqual(1);
  });

  it("makes no more retries when the retry budget is exhausted", async () => {
    const fixture = createRunnerFixture(async function* () {
      await Promise.resolve();
      throw failWith("closed_early");
    });
    for (let count = 0; count < 50; count += 1) await fixture.finish(fixture.read());
    expect(fixture.notes.calls.length).toBeLessThanOrEqual(50 + 10);
  });
});

describe("binding a request to weights", () => {
  /** Binds a request first to weights that no engine runs any more, and from then on to weights that all engines run. */
  const createRecoveringBinding = () => {
    const notes = { bindings: 0 };
    const bind = () => {
      notes.bindings += 1;
      return { weightsVersion: notes.bindings === 1 ? "gone" : "1", adapter: undefined };
    };
    return { bind, notes };
  };

  it("is repeated if the last engine with the weights is removed before the request has started", async () => {
    const { bind } = createRecoveringBinding();
    const fixture = createRunnerFixture(answerCompletely, {}, 3, bind);
    const view = await fixture.finish(fixture.read());
    expect([view.text, view.failure]).toEqual([wholeText, undefined]);
  });

  it("is not repeated without limit", async () => {
    let count = 0;
    const fixture = createRunnerFixture(answerCompletely, {}, 3, () => {
      count += 1;
      return { weightsVersion: `gone-${count}`, adapter: undefined };
    });
    const view = await fixture.finish(fixture.read());
    expect(view.failure?.code).toEqual("no_engine");
    expect(count).toBeLessThanOrEqual(4);
  });

  it("is not repeated once an engine may have run the request", async () => {
    const { bind, notes } = createRecoveringBinding();
    notes.bindings = 1;
    let attempts = 0;
    const fixture = createRunnerFixture(
      async function* (call, id, signal) {
        attempts += 1;
        if (attempts === 1) throw failWith("closed_early");
        yield* answerCompletely(call, id, signal);
      },
      {},
      3,
      bind,
    );
    const view = await fixture.finish(fixture.read());
    expect([view.text, notes.bindings]).toEqual([wholeText, 2]);
  });
});

describe("hedging", () => {
  const createSilentFirst = (): EngineScript => {
    let calls = 0;
    return async function* (call, id, signal) {
      calls += 1;
      if (calls === 1) await untilAborted(signal);
      yield* answerCompletely(call, id, signal);
    };
  };

  it("uses only the faster engine's answer and cancels the other attempt", async () => {
    const fixture = createRunnerFixture(createSilentFirst(), { hedgeAfter: 150 });
    const view = await fixture.finish(fixture.read());
    expect([view.text, view.failure]).toEqual([wholeText, undefined]);
    expect(fixture.clock.monotonic()).toBeLessThan(600);
    expect(fixture.notes.calls.length).toEqual(2);
    expect(fixture.notes.cancelled).toEqual([fixture.notes.calls[0] ?? ""]);
  });

  it("delivers no piece twice if both engines answer at the same time", async () => {
    const fixture = createRunnerFixture(
      async function* (call, id, signal) {
        await new Promise<void>(
          (resolve) => void fixture.clock.after(150 - fixture.clock.monotonic(), resolve),
        );
        yield* answerCompletely(call, id, signal);
      },
      { hedgeAfter: 149 },
    );
    const view = await fixture.finish(fixture.read());
    expect(view.text).toEqual(wholeText);
    expect([fixture.notes.calls.length, fixture.notes.cancelled.length]).toEqual([2, 1]);
  });

  it("is limited to a ratio of the successful requests", async () => {
    const fixture = createRunnerFixture(
      async function* (call, id, signal) {
        await new Promise<void>((resolve) => void fixture.clock.after(200, resolve));
        yield* answerCompletely(call, id, signal);
      },
      { hedgeAfter: 150 },
    );
    const requests = 100;
    for (let count = 0; count < requests; count += 1) await fixture.finish(fixture.read());
    expect(fixture.notes.calls.length - requests).toBeGreaterThan(0);
    expect(fixture.notes.calls.length - requests).toBeLessThanOrEqual(requests * 0.05 + 1);
  });
});
