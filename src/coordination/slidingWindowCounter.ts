/** A sum over the last part of time, kept in buckets. */
import type { Clock } from "./clock.ts";

/** See {@link createSlidingWindowCounter}. */
export interface SlidingWindowCounter {
  readonly add: (amount: number) => void;
  /** @returns The sum over the window, and over up to one bucket more. */
  readonly sum: () => number;
}

interface Bucket {
  readonly number: number;
  amount: number;
}

/**
 * Creates a sum of nothing.
 *
 * @param window - Milliseconds.
 */
export const createSlidingWindowCounter = (
  clock: Clock,
  window: number,
  buckets: number,
): SlidingWindowCounter => {
  const length = window / buckets;
  const kept: Bucket[] = [];

  const numberNow = (): number => Math.floor(clock.monotonic() / length);

  const dropOld = (): void => {
    const oldest = numberNow() - buckets;
    while (kept[0] !== undefined && kept[0].number < oldest) kept.shift();
  };

  return {
    add: (amount) => {
      const number = numberNow();
      const last = kept.at(-1);
      if (last?.number === number) last.amount += amount;
      else kept.push({ number, amount });
      dropOld();
    },
    sum: () => {
      dropOld();
      return kept.reduce((sum, { amount }) => sum + amount, 0);
    },
  };
};
