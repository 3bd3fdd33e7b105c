/** Tasks that run again and again. */
import { reportTaskFailure } from "../state/backgroundTasks.ts";
import type { Clock } from "./clock.ts";

/** Delay after a run that failed, milliseconds. */
const failureDelay = 1_000;

/**
 * Runs a task again and again. The next run is scheduled also if one fails.
 *
 * @param name - The task's name where a failure is reported.
 * @param firstDelay - Milliseconds until the first run.
 * @param run - Returns the milliseconds until the next run.
 * @returns Stops the task.
 */
export const startPeriodicTask = (
  clock: Pick<Clock, "after">,
  name: string,
  firstDelay: number,
  run: () => number,
): (() => void) => {
  let isStopped = false;

  const runOrReport = (): number => {
    try {
      return run();
    } catch (error) {
      reportTaskFailure(name, error);
      return failureDelay;
    }
  };

  const tick = (): void => {
    const delay = runOrReport();
    if (!isStopped) cancel = clock.after(delay, tick);
  };
  let cancel = clock.after(firstDelay, tick);

  return () => {
    isStopped = true;
    cancel();
  };
};
