import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { createManualClock } from "./manualClock.ts";

describe("createManualClock", () => {
  it("runs timers in the order of their times, then of their creation, except for cancelled ones", () => {
    const timer = fc.record({ delay: fc.integer({ min: 0, max: 50 }), isCancelled: fc.boolean() });
    fc.assert(
      fc.property(fc.array(timer, { maxLength: 60 }), (given) => {
        const clock = createManualClock();
        const called: number[] = [];
        given.forEach(({ delay, isCancelled }, index) => {
          const cancel = clock.after(delay, () => called.push(index));
          if (isCancelled) cancel();
        });
        clock.advanceTo(50);
        const expected = given
          .map(({ delay, isCancelled }, index) => ({ delay, isCancelled, index }))
          .filter(({ isCancelled }) => !isCancelled)
          .sort((left, right) => left.delay - right.delay || left.index - right.index)
          .map(({ index }) => index);
        expect(called).toEqual(expected);
      }),
      { seed: 20261202 },
    );
  });
});
