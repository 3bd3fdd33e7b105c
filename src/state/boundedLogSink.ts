/**
 * Lines for a log reader that may be slow or gone: writing never waits, what is held back is bounded, and a
 * line says how many were left out.
 */
import type { Writable } from "node:stream";
import type { LogFields, LogSink } from "./log.ts";

/** What lines are written with. */
export interface BoundedLinesParts {
  readonly output: Writable;
  /** On every line. */
  readonly fields: LogFields;
  /** Milliseconds on the monotonic clock. */
  readonly now: () => number;
  /** Lines a second over some time; a burst of as many is written at once. */
  readonly linesPerSecond: number;
  /** Lines are left out while more bytes than this wait for the reader. */
  readonly mostBytesWaiting: number;
}

/** @returns Where loggers can be directed. */
export const createBoundedLogSink = (parts: BoundedLinesParts): LogSink => {
  const { output, now, linesPerSecond } = parts;
  let allowance = linesPerSecond;
  let refilledAt = now();
  let leftOut = 0;

  const refill = (): void => {
    const time = now();
    allowance = Math.min(linesPerSecond, allowance + ((time - refilledAt) / 1_000) * linesPerSecond);
    refilledAt = time;
  };

  const emit = (part: string, event: string, fields: LogFields): void => {
    const line = { at: new Date().toISOString(), part, event, ...parts.fields, ...fields };
    output.write(`${JSON.stringify(line)}\n`);
  };

  // A reader that has gone is no reason to end.
  output.on("error", () => {
    leftOut += 1;
  });

  return (part, event, fields) => {
    refill();
    if (allowance < 1 || output.writableLength > parts.mostBytesWaiting) {
      leftOut += 1;
      return;
    }
    allowance -= 1;
    if (leftOut > 0) emit("log", "left_out", { lines: leftOut });
    leftOut = 0;
    emit(part, event, fields);
  };
};
