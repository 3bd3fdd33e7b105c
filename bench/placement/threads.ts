/** Runs policy tasks on a few worker threads. The result of a task does not depend on the thread that runs it. */
import { once } from "node:events";
import { Worker } from "node:worker_threads";
import type { PolicyRuns } from "./runs.ts";
import type { PolicyTask, PolicyTaskResult } from "./worker.ts";

/** More threads would slow down other processes on a shared machine. */
const threadCount = 2;

/**
 * Runs tasks on worker threads.
 *
 * @returns The results in the order of the tasks.
 */
export const runPolicyTasks = async (tasks: readonly PolicyTask[]): Promise<readonly PolicyRuns[]> => {
  const results = new Map<number, PolicyRuns>();
  let next = 0;

  const runThread = async (): Promise<void> => {
    const worker = new Worker(new URL("./worker.js", import.meta.url));
    try {
      for (let index = next; index < tasks.length; index = next) {
        next += 1;
        worker.postMessage(tasks[index]);
        const [{ runs }] = (await once(worker, "message")) as [PolicyTaskResult];
        if (runs !== undefined) results.set(index, runs);
      }
    } finally {
      await worker.terminate();
    }
  };

  await Promise.all(Array.from({ length: threadCount }, runThread));
  return tasks.flatMap((_, index) => results.get(index) ?? []);
};
