/** How estimates of replicas that get no new samples return to the median of their service. */

/** Time without samples after which an estimate has returned to the median, milliseconds. */
export const estimateLifetime = 3_000;

/**
 * The share grows with the square of the age: estimates that get a sample every second hardly move.
 *
 * @param age - Time since the last sample, milliseconds.
 * @returns The part of the way to the median that an estimate has returned, 0 to 1.
 */
export const staleShare = (age: number): number => Math.min(1, (Math.max(0, age) / estimateLifetime) ** 2);

/** @returns An estimate after a time without samples. */
export const ageEstimate = (value: number, age: number, median: number): number =>
  value + (median - value) * staleShare(age);

/**
 * Estimates within this factor of the median are not told apart. Moving averages of equal replicas differ by a few
 * percent, and a replica that seems a few percent slower would otherwise get nothing while load is light.
 */
const toleratedFactor = 1.15;

/** @returns A positive estimate, brought nearer to the median by the tolerated factor. */
export const ignoreSmallDifference = (value: number, median: number): number =>
  value > median ? Math.max(median, value / toleratedFactor) : Math.min(median, value * toleratedFactor);

/** @returns The median; `undefined` without values. */
export const medianOf = (values: readonly number[]): number | undefined => {
  if (values.length === 0) return undefined;
  const sorted = [...values].sort((left, right) => left - right);
  const upper = sorted[sorted.length >> 1] ?? 0;
  const lower = sorted[(sorted.length - 1) >> 1] ?? upper;
  return (lower + upper) / 2;
};

/** Factor by which an estimate must have changed since its last log line for another line. */
const loggedChangeFactor = 1.3;

/** @returns Whether the change between two positive values is worth a log line. */
export const isLoggedChange = (before: number, after: number): boolean =>
  Math.max(before / after, after / before) >= loggedChangeFactor;
