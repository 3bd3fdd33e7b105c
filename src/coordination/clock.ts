import { maxTimerDelay } from "../protocol/usableValues.ts";
import { guardCallback } from "../state/backgroundTasks.ts";
import { steadyNow } from "../state/steadyTime.ts";

/** Source of time and timers, which tests and the bench replace. */
export interface Clock {
  /**
   * Milliseconds on a clock that never goes backwards and that includes the time during which the VM was suspended.
   * Used for durations, leases and deadlines.
   */
  readonly monotonic: () => number;
  /** Milliseconds since 1970; only for values that people or other processes read. */
  readonly wall: () => number;
  /**
   * Calls a function once after a delay.
   *
   * @param delay - In milliseconds.
   * @returns A function that cancels the call.
   */
  readonly after: (delay: number, callback: () => void) => () => void;
}

/** Clock and timers of this process. */
export const systemClock: Clock = {
  monotonic: steadyNow,
  wall: () => Date.now(),
  after: (delay, callback) => {
    const guarded = guardCallback(callback.name === "" ? "timer" : callback.name, callback);
    const timer = setTimeout(guarded, Math.min(delay, maxTimerDelay));
    return () => clearTimeout(timer);
  },
};

/**
 * Resolves after a delay.
 *
 * @param delay - In milliseconds.
 * @param signal - When aborted, resolves immediately, without an error.
 */
export const pause = (clock: Clock, delay: number, signal?: AbortSignal): Promise<void> =>
  new Promise((resolve) => {
    if (signal?.aborted === true) {
      resolve();
      return;
    }
    const finish = (): void => {
      signal?.removeEventListener("abort", finish);
      cancel();
      resolve();
    };
    const cancel = clock.after(delay, finish);
    signal?.addEventListener("abort", finish);
  });
