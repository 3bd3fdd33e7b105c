/** The count of what a limit leaves: fills at its rate, up to what may be used at once. */
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
  /**
   * Takes an amount whose turn comes later.
   *
   * @param patience - How long it may wait, milliseconds.
   * @returns Milliseconds until its turn; nothing if it comes too late.
   */
  readonly book: (amount: number, filling: BucketFilling, patience: number) => number | undefined;
  /** @returns Milliseconds until there is room for an amount. */
  readonly untilRoom: (amount: number, filling: BucketFilling) => number;
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

  const untilRoomFor = (amount: number, { ratePerSecond }: BucketFilling): number =>
    Math.max(0, (amount - level) / ratePerSecond) * millisecondsPerSecond;

  return {
    book: (amount, filling, patience) => {
      fill(filling);
      const wait = untilRoomFor(amount, filling);
      if (wait > patience) return undefined;
      level -= amount;
      return wait;
    },
    untilRoom: (amount, filling) => {
      fill(filling);
      return untilRoomFor(amount, filling);
    },
    take: (amount, filling) => {
      fill(filling);
      // A request larger than the whole capacity would never be let in: it leaves a debt.
      const wanted = Math.min(amount, filling.capacity);
      if (level < wanted) return untilRoomFor(wanted, filling);
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
