/** Processor time of this process's main thread: its event loop's work, without its waits or preemption. */
import { readFileSync } from "node:fs";

const ticksPerSecond = 100;
const userField = 11;
const systemField = 12;

/** @returns Seconds of processor time so far; nothing where the system has no `/proc`. */
export const readMainThreadTime = (): number | undefined => {
  try {
    const line = readFileSync(`/proc/self/task/${process.pid}/stat`, "utf8");
    // Fields count from behind the name, which may hold spaces.
    const fields = line.slice(line.lastIndexOf(")") + 2).split(" ");
    return (Number(fields[userField]) + Number(fields[systemField])) / ticksPerSecond;
  } catch {
    return undefined;
  }
};
