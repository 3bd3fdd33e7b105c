/** How long to wait before another attempt, so that many requests that failed together do not return together. */
import { initialBackoff, maxBackoff } from "./constants.ts";

/**
 * Picks a delay at random below a limit that doubles with each failure ("full jitter").
 *
 * @param failures - Failures in a row, at least 1.
 * @param random - A number from 0 up to but not including 1.
 * @returns Milliseconds.
 */
export const pickBackoff = (failures: number, random: () => number): number => {
  const limit = Math.min(maxBackoff, initialBackoff * 2 ** (failures - 1));
  return random() * limit;
};
