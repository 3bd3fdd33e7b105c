/** The count of one organisation's use: fills at the rate of its limit, up to what may be used at once. */
import type { Clock } from "../clock.ts";

/** What fills a bucket. */
export interface BucketFilling {
  readonly ratePerSecond: number;
  /** The most that it holds. */
  readonly capacity: number;
}

/** See {@link createUsageBucket}. */
export interface UsageBucket {
  /** @returns Milliseconds until there is room; nothing if the amount was taken. */
  readonly take: (amount: number, filling: BucketFilling) => number | undefined;
  /** Counts what was passed on unasked, or with a negative amount what has not run. */
  readonly charge: (amount: number, filling: BucketFilling) => void;
  /** @returns How much of its capacity is left, in hundredths. */
  readonly room: (filling: BucketFilling) => number;
}

const millisecondsPerSecond = 1_000;

const hundredths = 100;

/**
 * Creates a bucket.
 *
 * @param beginning - What it holds at first. Whoever kept the count before may have granted a whole burst just now, so
 * that little more than what comes in from now on may be granted.
 */
export const createUsageBucket = (clock: Clock, beginning: number): UsageBucket => {
  let level = beginning;
  let filledAt = clock.monotonic();

  const fill = ({ ratePerSecond, capacity }: BucketFilling): void => {
    const now = clock.monotonic();
    level = Math.min(capacity, level + ((now - filledAt) / millisecondsPerSecond) * ratePerSecond);
    filledAt = now;
  };

  return {
    take: (amount, filling) => {
      fill(filling);
      // A request larger than the whole capacity would never be let in: it leaves a debt.
      const wanted = Math.min(amount, filling.capacity);
      if (level < wanted) return ((wanted - level) / filling.ratePerSecond) * millisecondsPerSecond;
      level -= amount;
      return undefined;
    },
    charge: (amount, filling) => {
      fill(filling);
      level = Math.min(filling.capacity, Math.max(-filling.capacity, level - amount));
    },
    room: (filling) => {
      fill(filling);
      return Math.max(0, Math.floor((level / filling.capacity) * hundredths));
    },
  };
};
