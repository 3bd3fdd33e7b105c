/**
 * Work that nobody waits for: timers, listeners, and promises that are started and left. Its failure costs this work
 * only. It is counted, and logged with what it was about, and neither ends the process nor reaches who started it.
 */
import { createBoundedMap } from "./boundedMap.ts";
import { createLogger } from "./log.ts";
import { steadyNow } from "./steadyTime.ts";

/** Least time between two lines about the same task and key, milliseconds. */
const logInterval = 10_000;

/** Tasks with their keys whose last line is remembered. */
const maxLoggedTasks = 200;

/** Characters of a reason in a line. */
const maxReasonLength = 2_000;

const writeLog = createLogger("tasks");

interface LoggedTask {
  readonly loggedAt: number;
  /** Failures since then. */
  readonly failures: number;
}

const loggedTasks = createBoundedMap<LoggedTask>(maxLoggedTasks);

const listeners = new Set<(task: string) => void>();

/**
 * Calls a function for each failure of a task in this process.
 *
 * @returns Removes the listener.
 */
export const onTaskFailure = (listener: (task: string) => void): (() => void) => {
  listeners.add(listener);
  return () => listeners.delete(listener);
};

const describe = (error: unknown): string =>
  (error instanceof Error ? (error.stack ?? String(error)) : String(error)).slice(0, maxReasonLength);

/**
 * Counts a failure and logs it, at a bounded rate.
 *
 * @param task - What failed; one of few names, since it is a tag of a metric.
 * @param key - What it was about, such as the id of a replica.
 */
export const reportTaskFailure = (task: string, error: unknown, key = ""): void => {
  for (const listener of listeners) listener(task);
  const name = `${task} ${key}`;
  const { loggedAt, failures } = loggedTasks.get(name) ?? {
    loggedAt: Number.NEGATIVE_INFINITY,
    failures: 0,
  };
  const now = steadyNow();
  if (now - loggedAt < logInterval) {
    loggedTasks.set(name, { loggedAt, failures: failures + 1 });
    return;
  }
  loggedTasks.set(name, { loggedAt: now, failures: 0 });
  writeLog("failed", { task, key, failures: failures + 1, reason: describe(error) });
};

/**
 * Runs a task to its end.
 *
 * @returns Resolves when it has ended, also if it failed.
 */
export const runTask = async (task: string, work: () => unknown, key?: string): Promise<void> => {
  try {
    await work();
  } catch (error) {
    reportTaskFailure(task, error, key);
  }
};

/** Starts a task that nobody waits for. */
export const runInBackground = (task: string, work: () => unknown, key?: string): void => {
  // It can't reject.
  // eslint-disable-next-line @typescript-eslint/no-floating-promises
  runTask(task, work, key);
};

/** @returns A callback for timers and events, whose failure doesn't reach the event loop. */
export const guardCallback =
  <Arguments extends readonly unknown[]>(
    task: string,
    callback: (...values: Arguments) => void,
    keyOf: (...values: Arguments) => string = () => "",
  ): ((...values: Arguments) => void) =>
  (...values) => {
    try {
      callback(...values);
    } catch (error) {
      reportTaskFailure(task, error, keyOf(...values));
    }
  };
