/** How many requests a replica that reports a rate limit may receive: the bound that tests and the lab check. */

/**
 * The allowance over the reported limit: in any window a replica may receive `rateFactor` times the limit, and `extra`
 * requests more. A router's requests count once `grace` has passed since it forwarded an answer that reports a limit.
 * `grace` and `window` are in milliseconds.
 */
export const allowance = { rateFactor: 1.5, extra: 5, grace: 500, window: 4_000 } as const;

const millisecondsPerSecond = 1_000;

/** @returns The number of requests that a replica may receive in a window, not rounded. */
export const allowedInWindow = (perSecond: number): number =>
  (allowance.rateFactor * perSecond * allowance.window) / millisecondsPerSecond + allowance.extra;

/** @returns The highest number of arrivals in any window; the moments may be in any order. */
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
