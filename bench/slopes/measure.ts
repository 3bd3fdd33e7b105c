/** Processor time, memory and the line through several of them. */
import { setImmediate as macrotask } from "node:timers/promises";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** One size with what was measured at it. */
export interface Point {
  readonly size: number;
  readonly value: number;
}

/** A line through points. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
}

/** The least squares line. */
export const fitLine = (points: readonly Point[]): Line => {
  const count = points.length;
  const meanSize = points.reduce((sum, { size }) => sum + size, 0) / count;
  const meanValue = points.reduce((sum, { value }) => sum + value, 0) / count;
  const covariance = points.reduce(
    (sum, { size, value }) => sum + (size - meanSize) * (value - meanValue),
    0,
  );
  const variance = points.reduce((sum, { size }) => sum + (size - meanSize) ** 2, 0);
  const slope = variance === 0 ? 0 : covariance / variance;
  return { slope, intercept: meanValue - slope * meanSize };
};

/** What a line gives at a size. */
export const valueAt = ({ slope, intercept }: Line, size: number): number => intercept + slope * size;

const batches = 7;

/**
 * Microseconds of one call, from the fastest of several batches: others' work on the machine only ever adds.
 *
 * @param run - Makes this many calls and tells how many microseconds they took.
 */
export const timeCalls = async (
  calls: number,
  run: (calls: number) => Promise<number> | number,
): Promise<number> => {
  const times: number[] = [];
  for (let batch = 0; batch < batches; batch += 1) times.push((await run(calls)) / calls);
  return Math.min(...times);
};

const collectGarbage = (): void => {
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as () => void;
  collect();
  collect();
};

/** Bytes of heap in use once garbage is gone. */
export const heapInUse = async (): Promise<number> => {
  // What the last promises still hold is let go first.
  await macrotask();
  collectGarbage();
  return process.memoryUsage().heapUsed;
};
