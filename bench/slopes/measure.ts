/** Measures time and heap, and fits lines to the measurements. */
import { setImmediate as macrotask } from "node:timers/promises";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** A size with the value measured at it. */
export interface Point {
  readonly size: number;
  readonly value: number;
}

/** A straight line: value = intercept + slope × size. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
}

/** @returns The least-squares line; with slope 0 if all points have the same size. */
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

/** @returns The value of the line at a size. */
export const valueAt = ({ slope, intercept }: Line, size: number): number => intercept + slope * size;

const batches = 7;

/**
 * Times a call. Takes the fastest of several batches, since other processes on the machine can only add time.
 *
 * @param calls - Calls in each batch.
 * @param run - Makes the given number of calls and returns the microseconds they took.
 * @returns Microseconds per call.
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

/** @returns Bytes of heap in use after a garbage collection. */
export const heapInUse = async (): Promise<number> => {
  // Objects referenced by pending microtasks become collectable first.
  await macrotask();
  collectGarbage();
  return process.memoryUsage().heapUsed;
};
