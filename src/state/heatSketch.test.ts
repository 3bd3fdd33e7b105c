import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { createHeatSketch } from "./heatSketch.ts";

const limits = { maximumKeys: 16, decayTime: 1_000, shortestWindow: 100 };

describe("createHeatSketch", () => {
  it("keeps a frequent key among many that occur once, and never exceeds its limit", () => {
    const onceSeen = fc.array(fc.integer({ min: 1, max: 12 }), { minLength: 5, maxLength: 60 });
    fc.assert(
      fc.property(onceSeen, (bursts) => {
        const sketch = createHeatSketch(limits);
        let now = 0;
        let unique = 0;
        for (const burst of bursts) {
          sketch.note("hot", now);
          for (let count = 0; count < burst; count += 1) {
            unique += 1;
            sketch.note(`once ${unique}`, now);
          }
          now += 10;
          expect(sketch.size()).toBeLessThanOrEqual(limits.maximumKeys);
          expect(sketch.has("hot")).toEqual(true);
        }
        expect(sketch.hottest(1, now)[0]?.key).toEqual("hot");
      }),
      { seed: 20261202 },
    );
  });

  it("approaches the rate of a steady stream and decays when the stream ends", () => {
    const sketch = createHeatSketch(limits);
    for (let now = 0; now <= 300; now += 10) sketch.note("steady", now);
    expect(Math.abs(sketch.rate("steady", 300) - 0.1) < 0.02).toEqual(true);
    expect(sketch.rate("steady", 10_000) < 0.001).toEqual(true);
    expect(sketch.rate("never seen", 10_000)).toEqual(0);
  });
});
