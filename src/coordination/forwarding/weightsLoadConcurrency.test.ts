import { describe, it } from "node:test";
import { expect } from "earl";
import { createLoadPace } from "./weightsLoadConcurrency.ts";
import { createSlots } from "./resizableSemaphore.ts";

describe("the number of engines that load weights at once", () => {
  it("brings all over within a share of the bound, however many there are", () => {
    const pace = createLoadPace({ weights: 12_000 });
    for (const engines of [6, 8, 78, 1_000]) {
      const loads = pace.limit(engines);
      expect((engines / loads) * 1_350).toBeLessThanOrEqual(12_000 / 2 + 1_350);
    }
    expect(pace.limit(6)).toEqual(2);
    expect(pace.limit(8)).toEqual(2);
    expect(pace.limit(78)).toBeGreaterThan(15);
  });

  it("falls to what the source of the weights bears, and no lower than two", () => {
    const pace = createLoadPace({ weights: 12_000 });
    pace.limit(78);
    pace.note(800, 1);
    // A source for eight: twenty at once take two and a half times as long.
    for (let load = 0; load < 20; load += 1) pace.note(2_000, 20);
    expect(pace.limit(78)).toEqual(8);
    for (let load = 0; load < 20; load += 1) pace.note(9_000, 3);
    expect(pace.limit(78)).toEqual(2);
  });

  it("rises while loads are fast, slowly, and never beyond what is of use", () => {
    const pace = createLoadPace({ weights: 12_000 });
    const atFirst = pace.limit(78);
    const load = (count: number): void => {
      for (let each = 0; each < count; each += 1) pace.note(1_100, pace.limit(78));
    };
    load(2 * atFirst);
    expect(pace.limit(78)).toEqual(atFirst + 1);
    load(2_000);
    expect(pace.limit(78)).toBeLessThanOrEqual(78 / 2);
    pace.note(2_750, 20);
    expect(pace.limit(78)).toEqual(8);
    load(2 * 8);
    expect(pace.limit(78)).toEqual(9);
  });
});

describe("places whose number changes", () => {
  it("go to those that wait once there are more, in the order of asking", async () => {
    let count = 1;
    const slots = createSlots(() => count);
    const { signal } = new AbortController();
    const first = await slots.take(signal);
    const begun: string[] = [];
    const waiting = ["b", "c", "d"].map(async (name) => {
      const slot = await slots.take(signal);
      begun.push(name);
      return slot;
    });
    count = 3;
    await first[Symbol.asyncDispose]();
    await Promise.all(waiting);
    expect([begun, slots.taken()]).toEqual([["b", "c", "d"], 3]);
  });

  it("are given to nobody while there are too many taken", async () => {
    let count = 2;
    const slots = createSlots(() => count);
    const { signal } = new AbortController();
    const first = await slots.take(signal);
    await slots.take(signal);
    count = 1;
    let begun = false;
    void slots.take(signal).then(() => (begun = true));
    await first[Symbol.asyncDispose]();
    await Promise.resolve();
    expect([begun, slots.taken()]).toEqual([false, 1]);
  });
});
