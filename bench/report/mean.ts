/** @returns The arithmetic mean of values; `NaN` of none. */
export const mean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;
