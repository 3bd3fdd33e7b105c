/** Helpers for waiting; those that take a signal stop when their stand-in is disposed of. */
import { setTimeout as sleep } from "node:timers/promises";

const pollMilliseconds = 5;

/** Waits for a time; rejects with an `AbortError` if the signal is aborted first. */
export const pause = async (milliseconds: number, signal: AbortSignal): Promise<void> => {
  signal.throwIfAborted();
  if (milliseconds > 0) await sleep(milliseconds, undefined, { signal });
};

/** Polls a condition until it is true; rejects if the signal is aborted first. */
export const pollUntil = async (condition: () => boolean, signal: AbortSignal): Promise<void> => {
  while (!condition()) await pause(pollMilliseconds, signal);
};

/** Notifies everything that waits for the next change. */
export interface Notifier {
  readonly notify: () => void;
  /** Resolves at the next {@link Notifier.notify}. */
  readonly nextChange: () => Promise<void>;
}

/** Creates a {@link Notifier}. */
export const createNotifier = (): Notifier => {
  let waiting: (() => void)[] = [];
  return {
    notify: () => {
      const woken = waiting;
      waiting = [];
      for (const wake of woken) wake();
    },
    nextChange: () => new Promise((resolve) => waiting.push(resolve)),
  };
};

/** A value whose past states can be read. */
export interface History<Value> {
  readonly record: (value: Value) => void;
  /** The value as it was `lagMilliseconds` ago, or the oldest one kept if there is none that old. */
  readonly read: (lagMilliseconds: number) => Value;
}

const historyMilliseconds = 60_000;

/** Creates a {@link History} that keeps the states of the last minute. */
export const createHistory = <Value>(first: Value): History<Value> => {
  const entries = [{ value: first, at: performance.now() }];
  const record = (value: Value): void => {
    const now = performance.now();
    entries.push({ value, at: now });
    while (entries[1] !== undefined && entries[1].at < now - historyMilliseconds) entries.shift();
  };
  const read = (lagMilliseconds: number): Value => {
    const until = performance.now() - lagMilliseconds;
    const entry = entries.findLast(({ at }) => at <= until) ?? entries[0];
    return entry === undefined ? first : entry.value;
  };
  return { record, read };
};
