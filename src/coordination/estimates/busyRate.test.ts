import { describe, it } from "node:test";
import { expect } from "earl";
import { createBusyRate } from "./busyRate.ts";

const rate = 66;

/**
 * Computes prompts of equal size one after another.
 *
 * @param pause - Time for which the replica is idle after each busy period, milliseconds.
 * @param delay - Fixed delay of each first token, milliseconds.
 */
const create = () => {
  const busyRate = createBusyRate();
  let now = 1_000;
  let estimate: number | undefined;
  const note = (elapsed: number, outstandingTokens: number, computedTokens: number): void => {
    now += elapsed;
    estimate = busyRate.note({ now, outstandingTokens, computedTokens }, estimate) ?? estimate;
  };
  /** @param delay - Fixed delay before the first token, milliseconds. */
  const runBusyPeriod = (prompts: number, tokens: number, delay = 0): void => {
    note(0, prompts * tokens, 0);
    for (let left = prompts - 1; left >= 0; left -= 1) {
      note(tokens / rate + (left === prompts - 1 ? delay : 0), left * tokens, tokens);
    }
  };
  return { note, runBusyPeriod, estimate: () => estimate ?? 0 };
};

describe("the rate of a busy replica", () => {
  it("does not contain the fixed delay before a first token, although busy periods are short", () => {
    const { note, runBusyPeriod, estimate } = create();
    for (let count = 0; count < 30; count += 1) {
      runBusyPeriod(2, 2_400, 62);
      note(50, 0, 0);
    }
    expect(estimate()).toBeCloseTo(rate, 0.01);
  });

  it("is not known from single prompts, whose time consists of the delay in part", () => {
    const { note, runBusyPeriod, estimate } = create();
    for (let count = 0; count < 30; count += 1) {
      runBusyPeriod(1, 12_000, 62);
      note(50, 0, 0);
    }
    expect(estimate()).toEqual(0);
  });

  it("changes by less than a quarter with one prompt that waits for many seconds", () => {
    const { note, runBusyPeriod, estimate } = create();
    runBusyPeriod(20, 12_000);
    note(0, 24_000, 0);
    note(12_000 / rate, 12_000, 12_000);
    const before = estimate();
    note(200, 12_000, 0);
    note(300, 0, 12_000);
    expect(estimate()).toBeLessThan(before);
    expect(estimate()).toBeGreaterThan(before * 0.75);
  });

  it("does not fall while requests fail that were never computed", () => {
    const { note, runBusyPeriod, estimate } = create();
    runBusyPeriod(20, 12_000);
    const before = estimate();
    for (let count = 0; count < 10; count += 1) {
      note(0, 12_000, 0);
      note(40, 0, 0);
    }
    expect(estimate()).toEqual(before);
  });

  it("follows a change of the speed by a factor of 2.4 within 3 s", () => {
    const { note, estimate } = create();
    note(0, 100_000, 0);
    for (let count = 0; count < 100; count += 1) note(2_400 / (0.7 * rate), 100_000, 2_400);
    expect(estimate() / rate).toBeCloseTo(0.7, 0.01);
    for (let time = 0; time < 3_000; time += 2_400 / (1.7 * rate)) note(2_400 / (1.7 * rate), 100_000, 2_400);
    expect(Math.abs(estimate() / rate - 1.7)).toBeLessThan(0.15);
  });
});
