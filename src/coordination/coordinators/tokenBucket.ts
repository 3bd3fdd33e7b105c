/** A token bucket: refills at the rate of a limit, up to the amount that may be used at once. */
import type { Clock } from "../clock.ts";

/** Rate and capacity of a bucket, in the unit of its limit. They are given with each call, since limits change. */
export interface BucketParameters {
  readonly ratePerSecond: number;
  /** The highest level of the bucket. */
  readonly capacity: number;
}

/** A token bucket whose level is negative while it is in debt. */
export interface TokenBucket {
  /** @returns `undefined` if the amount was taken, otherwise the milliseconds until it is available. */
  readonly take: (amount: number, parameters: BucketParameters) => number | undefined;
  /**
   * Takes an amount that becomes available later.
   *
   * @param maxWait - The longest acceptable wait, milliseconds.
   * @returns Milliseconds until the amount is available; `undefined`, and nothing taken, if the wait is longer.
   */
  readonly reserve: (amount: number, parameters: BucketParameters, maxWait: number) => number | undefined;
  /** @returns Milliseconds until an amount is available. */
  readonly timeUntilAvailable: (amount: number, parameters: BucketParameters) => number;
  /** Counts usage that was not granted; a negative amount returns what was granted and has not run. */
  readonly charge: (amount: number, parameters: BucketParameters) => void;
  /** @returns The share of the capacity that is left, in percent. */
  readonly remainingPercent: (parameters: BucketParameters) => number;
}

const millisecondsPerSecond = 1_000;

const percent = 100;

/**
 * Creates a bucket.
 *
 * @param initialLevel - The previous coordinator may have granted a whole burst just now, so that little more than the
 * refill from now on may be granted.
 */
export const createTokenBucket = (clock: Clock, initialLevel: number): TokenBucket => {
  let level = initialLevel;
  let refilledAt = clock.monotonic();

  const refill = ({ ratePerSecond, capacity }: BucketParameters): void => {
    const now = clock.monotonic();
    level = Math.min(capacity, level + ((now - refilledAt) / millisecondsPerSecond) * ratePerSecond);
    refilledAt = now;
  };

  const waitFor = (amount: number, { ratePerSecond }: BucketParameters): number =>
    Math.max(0, (amount - level) / ratePerSecond) * millisecondsPerSecond;

  return {
    reserve: (amount, parameters, maxWait) => {
      refill(parameters);
      const wait = waitFor(amount, parameters);
      if (wait > maxWait) return undefined;
      level -= amount;
      return wait;
    },
    timeUntilAvailable: (amount, parameters) => {
      refill(parameters);
      return waitFor(amount, parameters);
    },
    take: (amount, parameters) => {
      refill(parameters);
      // A request larger than the whole capacity would never be granted: it needs a full bucket and leaves a debt.
      const needed = Math.min(amount, parameters.capacity);
      if (level < needed) return waitFor(needed, parameters);
      level -= amount;
      return undefined;
    },
    charge: (amount, parameters) => {
      refill(parameters);
      level = Math.min(parameters.capacity, Math.max(-parameters.capacity, level - amount));
    },
    remainingPercent: (parameters) => {
      refill(parameters);
      return Math.max(0, Math.floor((level / parameters.capacity) * percent));
    },
  };
};
