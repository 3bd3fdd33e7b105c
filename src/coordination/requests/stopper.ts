/** Stops work early, and remembers why. */
import { upstreamError } from "../../protocol/errors.ts";
import type { UpstreamError } from "../../protocol/errors.ts";

/**
 * - `caller_left`: nobody waits for the answer any more.
 * - `deadline`: the class's completion deadline has passed.
 * - `silent`: the engine gave no first piece in time.
 * - `superseded`: another attempt was faster.
 */
export type StopReason = "caller_left" | "deadline" | "silent" | "superseded";

/** A switch that is thrown at most once; work under a stopped parent is stopped as well. */
export interface Stopper {
  readonly signal: AbortSignal;
  /** Why it was stopped; undefined while it has not been. */
  readonly reason: () => StopReason | undefined;
  readonly stop: (reason: StopReason) => void;
  /** Lets go of the parent. */
  readonly detach: () => void;
}

/** Makes a switch, below a parent if there is one. */
export const createStopper = (parent?: Stopper): Stopper => {
  const controller = new AbortController();
  let reason: StopReason | undefined;
  const stop = (given: StopReason): void => {
    if (reason !== undefined) return;
    reason = given;
    controller.abort();
  };
  const follow = (): void => stop(parent?.reason() ?? "caller_left");
  if (parent?.signal.aborted === true) follow();
  parent?.signal.addEventListener("abort", follow);
  return {
    signal: controller.signal,
    reason: () => reason,
    stop,
    detach: () => parent?.signal.removeEventListener("abort", follow),
  };
};

const stoppedError = (): UpstreamError =>
  upstreamError("stopped before anything was sent", "cancelled", "not_sent");

/**
 * Waits for work that comes before dispatch, but not longer than until the switch is thrown: what was given
 * up gets its final answer at once, whatever the work still waits for.
 *
 * @param undo - Gives back what the work yields too late.
 * @returns What the work yields; throws `UpstreamError` (`cancelled`, `not_sent`) once stopped.
 */
export const untilStopped = <T>(work: Promise<T>, { signal }: Stopper, undo: (late: T) => void): Promise<T> =>
  new Promise((resolve, reject) => {
    const giveUp = (): void => reject(stoppedError());
    signal.addEventListener("abort", giveUp);
    if (signal.aborted) giveUp();
    work
      .then((value) => {
        if (signal.aborted) undo(value);
        else resolve(value);
      }, reject)
      .finally(() => signal.removeEventListener("abort", giveUp));
  });
