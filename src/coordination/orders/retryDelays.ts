/** When engines that failed may be tried again. */
import type { Clock } from "../clock.ts";
import { firstRetryDelay, longestRetryDelay } from "./constants.ts";

/** See {@link createRetryDelays}. */
export interface RetryDelays {
  /** Failures of an engine in a row. */
  readonly failures: (id: string) => number;
  readonly mayTry: (id: string) => boolean;
  /** @returns Failures in a row, this one counted. */
  readonly noteFailure: (id: string) => number;
  readonly noteSuccess: (id: string) => void;
  /** Forgets engines that are not among these. */
  readonly keepOnly: (ids: ReadonlySet<string>) => void;
}

/** Creates delays that grow with each failure in a row. */
export const createRetryDelays = (clock: Clock): RetryDelays => {
  const entries = new Map<string, { readonly count: number; readonly retryAt: number }>();
  const failures = (id: string): number => entries.get(id)?.count ?? 0;
  return {
    failures,
    mayTry: (id) => clock.monotonic() >= (entries.get(id)?.retryAt ?? Number.NEGATIVE_INFINITY),
    noteFailure: (id) => {
      const count = failures(id) + 1;
      const delay = Math.min(longestRetryDelay, firstRetryDelay * 2 ** (count - 1));
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
