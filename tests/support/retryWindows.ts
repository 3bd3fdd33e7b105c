/** Repeats in the windows of a retry budget, counted as the budget's users do. */

import type { Behaviour } from "../../standIns/platform/replica.ts";
import type { ForwardingBounds } from "../../src/coordination/forwarding/types.ts";

/** The budget of all routers together. */
export type RetryBudget = Pick<ForwardingBounds, "retryRatio" | "retryReserve" | "retryWindow">;

/** A window: its repeats, and how many are allowed. */
export interface RetryWindow {
  readonly count: number;
  readonly allowed: number;
}

/** @param times - In order, milliseconds. @returns How many are at `from` or later and before `until`. */
const countBetween = (times: readonly number[], from: number, until: number): number => {
  const indexOf = (time: number): number => {
    let low = 0;
    let high = times.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((times[middle] ?? time) < time) low = middle + 1;
      else high = middle;
    }
    return low;
  };
  return indexOf(until) - indexOf(from);
};

/**
 * The requests that count are those of the window, of the one before it or of the one half a window before it.
 *
 * @param start - When the window begins, milliseconds.
 * @param countRequests - Counts the requests of the window that begins at a time.
 * @returns How many repeats all routers together may make in the window.
 */
export const allowedRepeats = (
  start: number,
  countRequests: (from: number) => number,
  { retryRatio, retryReserve, retryWindow }: RetryBudget,
): number => {
  const counts = [start, start - retryWindow / 2, start - retryWindow].map(countRequests);
  return retryRatio * Math.max(...counts) + retryReserve;
};

/**
 * Finds the window that uses most of its budget, among those that begin with a repeat.
 *
 * @param requests - When requests were sent, milliseconds, in order.
 * @param repeats - When they arrived again, milliseconds, in order.
 * @returns The window; one without repeats if there are none.
 */
export const findWorstRetryWindow = (
  requests: readonly number[],
  repeats: readonly number[],
  budget: RetryBudget,
): RetryWindow => {
  const countIn = (times: readonly number[], from: number): number =>
    countBetween(times, from, from + budget.retryWindow);
  const windows = repeats.map((start): RetryWindow => ({
    count: countIn(repeats, start),
    allowed: allowedRepeats(start, (from) => countIn(requests, from), budget),
  }));
  const none: RetryWindow = { count: 0, allowed: budget.retryReserve };
  const shareOf = ({ count, allowed }: RetryWindow): number => (count === 0 ? 0 : count / allowed);
  return windows.reduce((worst, each) => (shareOf(each) > shareOf(worst) ? each : worst), none);
};

/** @returns The times of arrivals beyond the first of their request, milliseconds, in order. */
export const findRepeats = (
  arrivals: readonly { readonly id: unknown; readonly at: number }[],
): readonly number[] => {
  const seen = new Set<unknown>();
  return arrivals
    .toSorted((left, right) => left.at - right.at)
    .flatMap(({ id, at }) => {
      if (seen.has(id)) return [at];
      seen.add(id);
      return [];
    });
};

/** Replicas that behave so fail two of three requests, so that retries are pressed to their budget. */
export const frequentFailures: readonly Behaviour[] = Array.from({ length: 3_000 }, (_, index) =>
  index % 3 === 0 ? "well" : "fail",
);
