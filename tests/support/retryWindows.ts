/** Repeats in the windows of a retry budget, counted as the budget's users do. */

/** The budget of all routers together. */
export interface RetryBudget {
  readonly ratio: number;
  readonly reserve: number;
  /** Milliseconds. */
  readonly window: number;
}

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
 * Finds the window that uses most of its budget. The requests that count are those of the window, of the one before it or
 * of the one half a window before it.
 *
 * @param requests - When requests were sent, milliseconds, in order.
 * @param repeats - When they arrived again, milliseconds, in order.
 * @returns The window; one without repeats if there are none.
 */
export const findWorstRetryWindow = (
  requests: readonly number[],
  repeats: readonly number[],
  { ratio, reserve, window }: RetryBudget,
): RetryWindow =>
  repeats
    .map((start): RetryWindow => {
      const counts = [start, start - window / 2, start - window].map((from) =>
        countBetween(requests, from, from + window),
      );
      return {
        count: countBetween(repeats, start, start + window),
        allowed: ratio * Math.max(...counts) + reserve,
      };
    })
    .reduce((worst, each) => (each.count * worst.allowed > worst.count * each.allowed ? each : worst), {
      count: 0,
      allowed: reserve,
    });

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
