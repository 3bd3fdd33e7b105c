/**
 * Waits for a prompt part that an engine is computing.
 *
 * The load pattern that it answers: after a load of weights, a crash or the beginning of a subject's rush several
 * prompts with the same part come before it was computed once. Sent at once, each has it computed anew, on several
 * engines or on one; sent when it is there, they copy or find it. The wait is bounded by a share of the latency
 * objective, since whoever computes the part may fail.
 */
import type { Clock } from "../clock.ts";
import type { CacheHolders } from "./cacheHolders.ts";

/** What waiting works with. */
export interface PartWaitParts {
  readonly holders: Pick<CacheHolders, "whenReady">;
  readonly clock: Clock;
  /** Share of the latency objective that is waited at most. */
  readonly share: number;
}

/**
 * @param key - The part's.
 * @param objective - The request's latency objective, milliseconds.
 * @param signal - Ends the wait.
 * @returns When the part can be used, or is waited for no longer.
 */
export type PartWait = (key: number, objective: number, signal: AbortSignal) => Promise<void>;

/** Creates a wait. */
export const createPartWait =
  ({ holders, clock, share }: PartWaitParts): PartWait =>
  (key, objective, signal) =>
    new Promise((resolve) => {
      const finish = (): void => {
        callOffTimer();
        callOffPart();
        signal.removeEventListener("abort", finish);
        resolve();
      };
      const callOffTimer = clock.after(objective * share, finish);
      const callOffPart = holders.whenReady(key, finish);
      signal.addEventListener("abort", finish);
      if (signal.aborted) finish();
    });
