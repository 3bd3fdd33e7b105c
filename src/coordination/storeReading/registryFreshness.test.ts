import { describe, it } from "node:test";
import { setImmediate as nextLoopIteration } from "node:timers/promises";
import { expect } from "earl";
import { MemoryMetrics } from "../../state/MemoryMetrics.ts";
import { createManualClock } from "../manualClock.ts";
import { createRegistryFreshness } from "./registryFreshness.ts";

/** Milliseconds. */
const drain = 1_000;

/** A registry that was read at time 0, with reads that the test answers. */
const startFreshness = () => {
  const clock = createManualClock();
  const reads: ((isDone: boolean) => void)[] = [];
  let readAt = clock.monotonic();
  let isFailing = false;
  const freshness = createRegistryFreshness({
    clock,
    bounds: { drain },
    age: () => clock.monotonic() - readAt,
    feed: {
      check: () => new Promise((resolve) => reads.push(resolve)),
      isFailing: () => isFailing,
    },
    metrics: new MemoryMetrics(),
  });
  return {
    clock,
    freshness,
    reads,
    answer: (isDone: boolean): void => {
      if (isDone) readAt = clock.monotonic();
      reads.at(-1)?.(isDone);
    },
    setFailing: (value: boolean): void => {
      isFailing = value;
    },
  };
};

describe("registry freshness", () => {
  it("has requests wait for one read once the registry was last read almost the bound ago", async () => {
    const { clock, freshness, reads, answer } = startFreshness();
    clock.advanceTo(800);
    expect(freshness.isUsable()).toEqual(true);
    clock.advanceTo(900);
    expect(freshness.isUsable()).toEqual(false);
    const waiting = [freshness.refresh(), freshness.refresh()];
    expect(reads.length).toEqual(1);
    answer(true);
    await Promise.all(waiting);
    expect(freshness.isUsable()).toEqual(true);
  });

  // A store that does not answer must not delay every request.
  it("lets requests go by what is known if the store does not answer, until it is read again", async () => {
    const { clock, freshness, answer } = startFreshness();
    clock.advanceTo(900);
    let isDone = false;
    const waiting = freshness.refresh().then(() => {
      isDone = true;
    });
    clock.advanceTo(1_100);
    await nextLoopIteration();
    expect(isDone).toEqual(false);
    clock.advanceTo(1_200);
    await waiting;
    expect(freshness.isUsable()).toEqual(true);
    answer(true);
    expect(freshness.isUsable()).toEqual(true);
    clock.advanceTo(2_200);
    expect(freshness.isUsable()).toEqual(false);
  });

  it("does not wait after a regular read that failed", () => {
    const { clock, freshness, setFailing } = startFreshness();
    clock.advanceTo(900);
    setFailing(true);
    expect(freshness.isUsable()).toEqual(true);
    setFailing(false);
    expect(freshness.isUsable()).toEqual(false);
  });
});
