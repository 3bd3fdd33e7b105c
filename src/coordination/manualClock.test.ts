import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { createManualClock } from "./manualClock.ts";

describe("createManualClock", () => {
  it("calls back in the order of time, then of setting, without those called off", () => {
    const timer = fc.record({ delay: fc.integer({ min: 0, max: 50 }), calledOff: fc.boolean() });
    fc.assert(
      fc.property(fc.array(timer, { maxLength: 60 }), (given) => {
        const clock = createManualClock();
        const called: number[] = [];
        given.forEach(({ delay, calledOff }, index) => {
          const callOff = clock.after(delay, () => called.push(index));
          if (calledOff) callOff();
        });
        clock.advanceTo(50);
        const expected = given
          .map(({ delay, calledOff }, index) => ({ delay, calledOff, index }))
          .filter(({ calledOff }) => !calledOff)
          .sort((left, right) => left.delay - right.delay || left.index - right.index)
          .map(({ index }) => index);
        expect(called).toEqual(expected);
      }),
      { seed: 20261202 },
    );
  });
});
