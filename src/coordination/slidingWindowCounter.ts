/** Sum over a sliding time window, divided into buckets. */
import type { Clock } from "./clock.ts";

/** Sums the amounts added within a sliding time window. */
export interface SlidingWindowCounter {
  readonly add: (amount: number) => void;
  /** @returns The sum over the window, which may include up to one bucket beyond it. */
  readonly sum: () => number;
}

interface Bucket {
  readonly number: number;
  amount: number;
}

/**
 * Creates a counter with sum 0.
 *
 * @param window - Length of the window, in milliseconds.
 * @param buckets - Number of buckets that the window is divided into.
 */
export const createSlidingWindowCounter = (
  clock: Clock,
  window: number,
  buckets: number,
): SlidingWindowCounter => {
  const bucketLength = window / buckets;
  const recent: Bucket[] = [];

  const currentNumber = (): number => Math.floor(clock.monotonic() / bucketLength);

  const dropOld = (): void => {
    const oldest = currentNumber() - buckets;
    while (recent[0] !== undefined && recent[0].number < oldest) recent.shift();
  };

  return {
    add: (amount) => {
      const number = currentNumber();
      const last = recent.at(-1);
      if (last?.number === number) last.amount += amount;
      else recent.push({ number, amount });
      dropOld();
    },
    sum: () => {
      dropOld();
      return recent.reduce((sum, { amount }) => sum + amount, 0);
    },
  };
};
