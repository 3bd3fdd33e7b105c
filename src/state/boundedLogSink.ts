/**
 * A log sink for a reader that may be slow or gone. Writing never waits, the lines buffered in memory are bounded, and
 * excess lines are dropped. The next line that is written reports how many.
 */
import type { Writable } from "node:stream";
import type { LogFields, LogSink } from "./log.ts";

export interface BoundedLogSinkDependencies {
  readonly output: Writable;
  /** Added to every line. */
  readonly fields: LogFields;
  /** The monotonic clock, in milliseconds. */
  readonly now: () => number;
  /** Sustained rate; also the largest burst that is written at once. */
  readonly linesPerSecond: number;
  /** Lines are dropped while more bytes than this are buffered for the reader. */
  readonly maxBufferedBytes: number;
}

/** Creates a sink for `directLogs` with a limited rate and a limited buffer. */
export const createBoundedLogSink = (dependencies: BoundedLogSinkDependencies): LogSink => {
  const { output, now, linesPerSecond } = dependencies;
  let allowance = linesPerSecond;
  let refilledAt = now();
  let droppedLines = 0;

  const refill = (): void => {
    const time = now();
    allowance = Math.min(linesPerSecond, allowance + ((time - refilledAt) / 1_000) * linesPerSecond);
    refilledAt = time;
  };

  const writeLine = (part: string, event: string, fields: LogFields): void => {
    const line = { at: new Date().toISOString(), part, event, ...dependencies.fields, ...fields };
    output.write(`${JSON.stringify(line)}\n`);
  };

  // A closed reader must not end the process.
  output.on("error", () => {
    droppedLines += 1;
  });

  return (part, event, fields) => {
    refill();
    if (allowance < 1 || output.writableLength > dependencies.maxBufferedBytes) {
      droppedLines += 1;
      return;
    }
    allowance -= 1;
    if (droppedLines > 0) writeLine("log", "left_out", { lines: droppedLines });
    droppedLines = 0;
    writeLine(part, event, fields);
  };
};
