/** What a replica that names a limit may get, as it is stated; tests and the lab judge by it. */

/** Beside the limit's rate; the grace of a router that has passed on such an answer, and windows: milliseconds. */
export const allowance = { rateFactor: 1.5, extra: 5, grace: 500, window: 4_000 } as const;

const millisecondsPerSecond = 1_000;

/** @returns What may come in a window, not rounded. */
export const allowedInWindow = (perSecond: number): number =>
  (allowance.rateFactor * perSecond * allowance.window) / millisecondsPerSecond + allowance.extra;

/** @returns The most that came in any window, of moments in any order. */
export const mostInAnyWindow = (moments: readonly number[]): number => {
  const sorted = [...moments].sort((left, right) => left - right);
  let most = 0;
  let first = 0;
  for (const [index, end] of sorted.entries()) {
    while ((sorted[first] ?? end) <= end - allowance.window) first += 1;
    most = Math.max(most, index - first + 1);
  }
  return most;
};
