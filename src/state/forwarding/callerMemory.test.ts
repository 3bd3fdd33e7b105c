import { describe, it } from "node:test";
import { expect } from "earl";
import * as fc from "fast-check";
import type { UnreadAnswer } from "./callerMemory.ts";
import { decideCallerMemory, unreadTimeLimit } from "./callerMemory.ts";

const now = 100_000;

const answer = (bufferedBytes: number, unreadFor = 0): UnreadAnswer => ({
  bufferedBytes,
  lastReadAt: now - unreadFor,
});

describe("decideCallerMemory", () => {
  it("does nothing without a bound or within it, however long callers read nothing", () => {
    const answers = [answer(600, 60_000), answer(400, 60_000)];
    for (const bound of [0, 1_000]) {
      const { refuses, stopped, cutOff } = decideCallerMemory(answers, bound, now);
      expect([refuses, stopped.size, cutOff.length]).toEqual([false, 0, 0]);
    }
  });

  it("stops the largest answers and refuses while all callers still read", () => {
    const large = answer(700);
    const small = answer(400);
    const decision = decideCallerMemory([small, large], 1_000, now);
    expect([...decision.stopped]).toEqual([large]);
    expect([decision.refuses, decision.cutOff.length]).toEqual([true, 0]);
  });

  // Guards against refusing requests for as long as a caller keeps a connection open without reading.
  it("cuts off callers that read nothing, the largest first, only as many as needed", () => {
    const large = answer(700, unreadTimeLimit);
    const small = answer(400, unreadTimeLimit);
    const decision = decideCallerMemory([small, large], 1_000, now);
    expect(decision.cutOff).toEqual([large]);
    expect([decision.refuses, decision.stopped.size]).toEqual([false, 0]);
  });

  it("never cuts off a caller that reads, and refuses exactly while the rest exceeds the bound", () => {
    const answers = fc.array(
      fc.record({ bufferedBytes: fc.nat(1_000), unreadFor: fc.nat(2 * unreadTimeLimit) }),
      { maxLength: 12 },
    );
    fc.assert(
      fc.property(answers, fc.integer({ min: 1, max: 4_000 }), (drawn, bound) => {
        const all = drawn.map(({ bufferedBytes, unreadFor }) => answer(bufferedBytes, unreadFor));
        const { cutOff, stopped, refuses } = decideCallerMemory(all, bound, now);
        expect(cutOff.every(({ lastReadAt }) => now - lastReadAt >= unreadTimeLimit)).toEqual(true);
        expect(cutOff.some((each) => stopped.has(each))).toEqual(false);
        const rest = all.filter((each) => !cutOff.includes(each));
        const sum = rest.reduce((total, { bufferedBytes }) => total + bufferedBytes, 0);
        expect(refuses).toEqual(sum > bound);
        expect(stopped.size > 0).toEqual(refuses);
      }),
      { seed: 3 },
    );
  });
});
