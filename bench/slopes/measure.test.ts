import { describe, it } from "node:test";
import { expect } from "earl";
import { fitLine, valueAt } from "./measure.ts";

describe("fitLine", () => {
  it("fits exact points exactly, and other points by least squares", () => {
    const exact = fitLine([1, 2, 3].map((size) => ({ size, value: 3 + 2 * size })));
    expect([exact.slope, exact.intercept, valueAt(exact, 100)]).toEqual([2, 3, 203]);
    const points = [
      { size: 0, value: 0 },
      { size: 1, value: 2 },
      { size: 2, value: 1 },
    ];
    expect(fitLine(points)).toEqual({ slope: 0.5, intercept: 0.5 });
  });
});
