import { describe, it } from "node:test";
import { expect } from "earl";
import { createWeightsLoadConcurrency } from "./weightsLoadConcurrency.ts";
import { createResizableSemaphore } from "./resizableSemaphore.ts";

describe("the limit on simultaneous weights loads", () => {
  it("finishes all engines within a share of the bound, however many there are", () => {
    const concurrency = createWeightsLoadConcurrency({ weights: 12_000 });
    for (const engines of [6, 8, 78, 1_000]) {
      const loads = concurrency.limit(engines);
      expect((engines / loads) * 1_350).toBeLessThanOrEqual(12_000 / 2 + 1_350);
    }
    expect(concurrency.limit(6)).toEqual(2);
    expect(concurrency.limit(8)).toEqual(2);
    expect(concurrency.limit(78)).toBeGreaterThan(15);
  });

  it("falls to what the source of the weights sustains, and no lower than two", () => {
    const concurrency = createWeightsLoadConcurrency({ weights: 12_000 });
    concurrency.limit(78);
    concurrency.noteLoad(800, 1);
    // A source that sustains eight loads: twenty at once take two and a half times as long.
    for (let load = 0; load < 20; load += 1) concurrency.noteLoad(2_000, 20);
    expect(concurrency.limit(78)).toEqual(8);
    for (let load = 0; load < 20; load += 1) concurrency.noteLoad(9_000, 3);
    expect(concurrency.limit(78)).toEqual(2);
  });

  it("rises slowly while loads are fast, and never beyond what is useful", () => {
    const concurrency = createWeightsLoadConcurrency({ weights: 12_000 });
    const atFirst = concurrency.limit(78);
    const load = (count: number): void => {
      for (let each = 0; each < count; each += 1) concurrency.noteLoad(1_100, concurrency.limit(78));
    };
    load(2 * atFirst);
    expect(concurrency.limit(78)).toEqual(atFirst + 1);
    load(2_000);
    expect(concurrency.limit(78)).toBeLessThanOrEqual(78 / 2);
    concurrency.noteLoad(2_750, 20);
    expect(concurrency.limit(78)).toEqual(8);
    load(2 * 8);
    expect(concurrency.limit(78)).toEqual(9);
  });
});

describe("a resizable semaphore", () => {
  it("grants added permits to waiting callers in the order of their calls", async () => {
    let maxPermits = 1;
    const semaphore = createResizableSemaphore(() => maxPermits);
    const { signal } = new AbortController();
    const first = await semaphore.acquire(signal);
    const started: string[] = [];
    const waiting = ["b", "c", "d"].map(async (name) => {
      const permit = await semaphore.acquire(signal);
      started.push(name);
      return permit;
    });
    maxPermits = 3;
    await first[Symbol.asyncDispose]();
    await Promise.all(waiting);
    expect([started, semaphore.acquiredCount()]).toEqual([["b", "c", "d"], 3]);
  });

  it("grants no permit while more are acquired than allowed", async () => {
    let maxPermits = 2;
    const semaphore = createResizableSemaphore(() => maxPermits);
    const { signal } = new AbortController();
    const first = await semaphore.acquire(signal);
    await semaphore.acquire(signal);
    maxPermits = 1;
    let started = false;
    void semaphore.acquire(signal).then(() => (started = true));
    await first[Symbol.asyncDispose]();
    await Promise.resolve();
    expect([started, semaphore.acquiredCount()]).toEqual([false, 1]);
  });
});
