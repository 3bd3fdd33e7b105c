/** Cancellation of work, with the reason for it. */
import { upstreamError } from "../../protocol/errors.ts";
import type { UpstreamError } from "../../protocol/errors.ts";

/**
 * Why work was stopped.
 *
 * - `caller_left`: the caller disconnected.
 * - `deadline`: the request's completion deadline has passed.
 * - `silent`: the engine sent no first piece before the timeout.
 * - `superseded`: another attempt was faster, or the attempt was closed before its answer was complete.
 */
export type StopReason = "caller_left" | "deadline" | "silent" | "superseded";

/** An abort signal with a reason. It can be stopped once, and is stopped along with its parent. */
export interface Stopper {
  readonly signal: AbortSignal;
  /** @returns Why it was stopped; `undefined` while it is not. */
  readonly reason: () => StopReason | undefined;
  readonly stop: (reason: StopReason) => void;
  /** Stops following the parent. */
  readonly detach: () => void;
}

/**
 * Creates a stopper.
 *
 * @param parent - Stops the new one, with the same reason, when it is stopped itself.
 */
export const createStopper = (parent?: Stopper): Stopper => {
  const controller = new AbortController();
  let reason: StopReason | undefined;
  const stop = (newReason: StopReason): void => {
    if (reason !== undefined) return;
    reason = newReason;
    controller.abort();
  };
  const stopWithParent = (): void => stop(parent?.reason() ?? "caller_left");
  if (parent?.signal.aborted === true) stopWithParent();
  parent?.signal.addEventListener("abort", stopWithParent);
  return {
    signal: controller.signal,
    reason: () => reason,
    stop,
    detach: () => parent?.signal.removeEventListener("abort", stopWithParent),
  };
};

const stoppedError = (): UpstreamError =>
  upstreamError("the attempt was stopped before the request was sent", "cancelled", "not_sent");

/**
 * Waits for work that precedes dispatch, but only until the stopper is stopped. A cancelled request thus gets its final
 * answer at once, even if the work is still waiting.
 *
 * @param undo - Releases a result that arrives after the stop.
 * @returns The result of the work; throws `UpstreamError` (`cancelled`, `not_sent`) if stopped.
 */
export const untilStopped = <T>(
  work: Promise<T>,
  { signal }: Stopper,
  undo: (lateValue: T) => void,
): Promise<T> =>
  new Promise((resolve, reject) => {
    const rejectStopped = (): void => reject(stoppedError());
    signal.addEventListener("abort", rejectStopped);
    if (signal.aborted) rejectStopped();
    work
      .then((value) => {
        if (signal.aborted) undo(value);
        else resolve(value);
      }, reject)
      .finally(() => signal.removeEventListener("abort", rejectStopped));
  });
