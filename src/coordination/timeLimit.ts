/**
 * Time limit for asynchronous calls. Node's composite signals (`AbortSignal.any` with `AbortSignal.timeout`) may be
 * garbage collected before they fire, and a call that receives no answer then never ends. Here the clock's timer
 * keeps the signal alive.
 */
import type { Clock } from "./clock.ts";

/**
 * Runs a call whose signal aborts after a time limit.
 *
 * @param parent - Aborts the call as well; undefined if only the time limit does.
 * @param milliseconds - The time limit.
 * @returns The result of the call, which must itself end when its signal aborts.
 */
export const withTimeLimit = async <T>(
  clock: Clock,
  parent: AbortSignal | undefined,
  milliseconds: number,
  call: (signal: AbortSignal) => Promise<T>,
): Promise<T> => {
  const limit = new AbortController();
  const abort = (): void => limit.abort();
  parent?.addEventListener("abort", abort);
  if (parent?.aborted === true) abort();
  const cancel = clock.after(milliseconds, abort);
  try {
    return await call(limit.signal);
  } finally {
    cancel();
    parent?.removeEventListener("abort", abort);
  }
};
