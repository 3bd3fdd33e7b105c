/** Lines that stand for many events of a kind, at a bounded rate. */
import { steadyNow } from "./steadyTime.ts";

/** Least time between two lines, milliseconds. */
const logInterval = 5_000;

type Fields = Readonly<Record<string, string | number>>;

/**
 * Creates a function that counts an event by its reason; the first one, and the first after each interval, writes a
 * line with the numbers since the line before.
 *
 * @param writeLine - Writes a line with these fields.
 */
export const createCountedLog = (
  writeLine: (fields: Fields) => void,
): ((reason: string, fields: Fields) => void) => {
  const counts = new Map<string, number>();
  let loggedAt = Number.NEGATIVE_INFINITY;
  return (reason, fields) => {
    counts.set(reason, (counts.get(reason) ?? 0) + 1);
    const now = steadyNow();
    if (now - loggedAt < logInterval) return;
    loggedAt = now;
    writeLine({ ...fields, ...Object.fromEntries(counts) });
    counts.clear();
  };
};
