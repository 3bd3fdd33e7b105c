/**
 * Waits for a prompt part that an engine is computing.
 *
 * Handles bursts of prompts with the same part that arrive before the part has been computed once: after new weights
 * were loaded, after a crash, or when a subject becomes popular. Sent at once, each prompt would compute the part
 * again, on one engine or on several; sent when the part is ready, they copy it or find it cached. The wait is bounded
 * by a share of the latency objective, since the engine that computes the part may fail.
 */
import type { Clock } from "../clock.ts";
import type { CacheHolders } from "../forwarding/cacheHolders.ts";

export interface PartWaitDependencies {
  readonly holders: Pick<CacheHolders, "whenReady">;
  readonly clock: Clock;
  /** Longest wait, as a share of the latency objective. */
  readonly share: number;
}

/**
 * @param key - The part's key.
 * @param objective - The request's latency objective, milliseconds.
 * @param signal - Ends the wait.
 * @returns Resolves when the part is ready or the wait has ended.
 */
export type PartWait = (key: number, objective: number, signal: AbortSignal) => Promise<void>;

export const createPartWait =
  ({ holders, clock, share }: PartWaitDependencies): PartWait =>
  (key, objective, signal) =>
    new Promise((resolve) => {
      const finish = (): void => {
        cancelTimer();
        cancelCallback();
        signal.removeEventListener("abort", finish);
        resolve();
      };
      const cancelTimer = clock.after(objective * share, finish);
      const cancelCallback = holders.whenReady(key, finish);
      signal.addEventListener("abort", finish);
      if (signal.aborted) finish();
    });
