/** Lines that stand for many events of a kind, at a bounded rate. */
import { createLogger } from "./log.ts";
import { steadyNow } from "./steadyTime.ts";

/** Least time between two lines, milliseconds. */
const logInterval = 5_000;

/**
 * Creates a function that counts an event by its reason; the first one, and the first after each interval, writes a
 * line with the numbers since the line before.
 */
export const createCountedLog = (
  part: string,
  event: string,
): ((reason: string, fields: Readonly<Record<string, string | number>>) => void) => {
  const writeLog = createLogger(part);
  const counts = new Map<string, number>();
  let loggedAt = Number.NEGATIVE_INFINITY;
  return (reason, fields) => {
    counts.set(reason, (counts.get(reason) ?? 0) + 1);
    const now = steadyNow();
    if (now - loggedAt < logInterval) return;
    loggedAt = now;
    writeLog(event, { ...fields, ...Object.fromEntries(counts) });
    counts.clear();
  };
};
