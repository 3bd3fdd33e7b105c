/** Waiting helpers that end when their stand-in is disposed of. */
import { setTimeout as sleep } from "node:timers/promises";

const pollMilliseconds = 5;

/** Waits; rejects with an `AbortError` if the signal is aborted first. */
export const pause = async (milliseconds: number, signal: AbortSignal): Promise<void> => {
  signal.throwIfAborted();
  if (milliseconds > 0) await sleep(milliseconds, undefined, { signal });
};

/** Waits until a condition that nothing announces is true. */
export const pollUntil = async (condition: () => boolean, signal: AbortSignal): Promise<void> => {
  while (!condition()) await pause(pollMilliseconds, signal);
};

/** Wakes all who wait for the next change. */
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

/** A value that can be read as it was some time ago. */
export interface History<Value> {
  readonly record: (value: Value) => void;
  /** The value as it was; the first one recorded if that is younger. */
  readonly read: (lagMilliseconds: number) => Value;
}

const historyMilliseconds = 60_000;

/** Creates a {@link History} that reaches back one minute. */
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
