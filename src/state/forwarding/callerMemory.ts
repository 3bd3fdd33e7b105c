/**
 * Decides what happens to callers that read slowly once the memory that their answers take exceeds a bound. Pure
 * decision logic: sizes and times are passed in.
 */

/** The answer to one caller, as far as it is not read yet. Times are milliseconds on the monotonic clock. */
export interface UnreadAnswer {
  /** Bytes that this router holds for the caller. */
  readonly bufferedBytes: number;
  /** When the caller last read something, or had everything read. */
  readonly lastReadAt: number;
}

/** What happens to the answers. */
export interface CallerMemoryDecision<T> {
  /** Bytes that all answers hold. */
  readonly bufferedBytes: number;
  /** Whether the answers that are not cut off exceed the bound, so that new requests are refused. */
  readonly refuses: boolean;
  /** Answers for which nothing more is read from their replicas. */
  readonly stopped: ReadonlySet<T>;
  /** Answers whose callers are disconnected. */
  readonly cutOff: readonly T[];
}

/** A caller that has read nothing for this long while the bound is exceeded is disconnected, milliseconds. */
export const unreadTimeLimit = 3_000;

/** Delay after which a refused caller is told to retry: by then some callers have read or been disconnected. */
export const callerMemoryRetryDelay = 1_000;

const sumOf = (answers: readonly UnreadAnswer[]): number =>
  answers.reduce((sum, { bufferedBytes }) => sum + bufferedBytes, 0);

/**
 * Decides by the bytes that are held now.
 *
 * - The largest answers are stopped that together hold as much as exceeds the bound.
 * - The largest answers that were not read for {@link unreadTimeLimit} are cut off, until the rest is within the bound.
 *
 * @param bound - Bytes for all answers together; 0 for no bound.
 * @param now - Milliseconds on the monotonic clock.
 */
export const decideCallerMemory = <T extends UnreadAnswer>(
  answers: readonly T[],
  bound: number,
  now: number,
): CallerMemoryDecision<T> => {
  const bufferedBytes = sumOf(answers);
  if (bound === 0 || bufferedBytes <= bound)
    return { bufferedBytes, refuses: false, stopped: new Set(), cutOff: [] };
  const largestFirst = [...answers].sort((left, right) => right.bufferedBytes - left.bufferedBytes);
  const cutOff: T[] = [];
  let remaining = bufferedBytes;
  for (const answer of largestFirst) {
    if (remaining <= bound) break;
    if (answer.bufferedBytes === 0 || now - answer.lastReadAt < unreadTimeLimit) continue;
    cutOff.push(answer);
    remaining -= answer.bufferedBytes;
  }
  const stopped = new Set<T>();
  let excess = remaining - bound;
  for (const answer of largestFirst) {
    if (excess <= 0) break;
    if (cutOff.includes(answer)) continue;
    stopped.add(answer);
    excess -= answer.bufferedBytes;
  }
  return { bufferedBytes, refuses: remaining > bound, stopped, cutOff };
};
