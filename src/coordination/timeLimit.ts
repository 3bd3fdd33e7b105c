/**
 * A time limit on a call. Node's composite signals (`AbortSignal.any` over `AbortSignal.timeout`) may be collected
 * before they fire, and a call without an answer then waits for good; here the clock's timer holds the signal.
 */
import type { Clock } from "./clock.ts";

/**
 * Makes a call with a limit.
 *
 * @param parent - Ends the call too; nothing if only the limit does.
 * @param milliseconds - The longest that it may take.
 * @returns What the call yields; it is for the call to fail when its signal aborts.
 */
export const withTimeLimit = async <T>(
  clock: Clock,
  parent: AbortSignal | undefined,
  milliseconds: number,
  call: (signal: AbortSignal) => Promise<T>,
): Promise<T> => {
  const limit = new AbortController();
  const end = (): void => limit.abort();
  parent?.addEventListener("abort", end);
  if (parent?.aborted === true) end();
  const callOff = clock.after(milliseconds, end);
  try {
    return await call(limit.signal);
  } finally {
    callOff();
    parent?.removeEventListener("abort", end);
  }
};
