/** Exponential backoff for engines that failed. */
import type { Clock } from "../clock.ts";
import { initialRetryDelay, maxRetryDelay } from "./constants.ts";

/** Counts failures and decides when each engine may be retried. */
export interface RetryDelays {
  /** Number of consecutive failures of an engine. */
  readonly failures: (id: string) => number;
  readonly mayRetry: (id: string) => boolean;
  /** @returns Number of consecutive failures, including this one. */
  readonly noteFailure: (id: string) => number;
  readonly noteSuccess: (id: string) => void;
  /** Removes the state of all other engines. */
  readonly keepOnly: (ids: ReadonlySet<string>) => void;
}

/** Creates delays that double with each consecutive failure. */
export const createRetryDelays = (clock: Clock): RetryDelays => {
  const entries = new Map<string, { readonly count: number; readonly retryAt: number }>();
  const failures = (id: string): number => entries.get(id)?.count ?? 0;
  return {
    failures,
    mayRetry: (id) => clock.monotonic() >= (entries.get(id)?.retryAt ?? Number.NEGATIVE_INFINITY),
    noteFailure: (id) => {
      const count = failures(id) + 1;
      const delay = Math.min(maxRetryDelay, initialRetryDelay * 2 ** (count - 1));
      entries.set(id, { count, retryAt: clock.monotonic() + delay });
      return count;
    },
    noteSuccess: (id) => {
      entries.delete(id);
    },
    keepOnly: (ids) => {
      for (const id of entries.keys()) {
        if (!ids.has(id)) entries.delete(id);
      }
    },
  };
};
