/** Delays before retries, randomised so that requests that failed together are not retried together. */
import { initialBackoff, maxBackoff } from "./constants.ts";

/**
 * Picks a back-off delay with full jitter: at random below a maximum that doubles with each failure.
 *
 * @param failures - Consecutive failures, at least 1.
 * @param random - Returns a number from 0 up to but not including 1.
 * @returns The delay, milliseconds.
 */
export const pickBackoff = (failures: number, random: () => number): number => {
  const maxDelay = Math.min(maxBackoff, initialBackoff * 2 ** (failures - 1));
  return random() * maxDelay;
};
