/** CPU time of this process's main thread: the work of its event loop, excluding waits and preemption. */
import { readFileSync } from "node:fs";

const ticksPerSecond = 100;
const userField = 11;
const systemField = 12;

/** @returns Seconds of CPU time so far; `undefined` where the system has no `/proc`. */
export const readMainThreadTime = (): number | undefined => {
  try {
    const line = readFileSync(`/proc/self/task/${process.pid}/stat`, "utf8");
    // Fields are counted from the end of the thread name, which may contain spaces.
    const fields = line.slice(line.lastIndexOf(")") + 2).split(" ");
    return (Number(fields[userField]) + Number(fields[systemField])) / ticksPerSecond;
  } catch {
    return undefined;
  }
};
