import { describe, it } from "node:test";
import { expect } from "earl";
import * as fc from "fast-check";
import { fenceOf } from "./fences.ts";

describe("fences", () => {
  it("rise with the epoch, whatever the offsets, and within an epoch with the offset", () => {
    const epoch = fc.nat({ max: 100_000 });
    const offset = fc.nat({ max: 2 ** 32 - 1 });
    fc.assert(
      fc.property(epoch, fc.integer({ min: 1, max: 1_000 }), offset, offset, (first, rise, before, after) => {
        expect(fenceOf(first + rise, after) > fenceOf(first, before)).toEqual(true);
        expect(Math.sign(fenceOf(first, after) - fenceOf(first, before))).toEqual(Math.sign(after - before));
        expect(Number.isSafeInteger(fenceOf(first + rise, after) + 1)).toEqual(true);
      }),
      { seed: 1 },
    );
  });
});
