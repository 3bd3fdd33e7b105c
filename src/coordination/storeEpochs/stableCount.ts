/** Tells when a number has stopped growing. */
import type { Clock } from "../clock.ts";

export interface StableCount {
  readonly note: (count: number) => void;
  /** Whether no larger number was noted for the duration. */
  readonly isStable: () => boolean;
}

/** @param duration - Milliseconds. */
export const createStableCount = (clock: Clock, duration: number): StableCount => {
  let largest = 0;
  let largestSince = clock.monotonic();
  return {
    note: (count) => {
      if (count <= largest) return;
      largest = count;
      largestSince = clock.monotonic();
    },
    isStable: () => clock.monotonic() - largestSince >= duration,
  };
};
