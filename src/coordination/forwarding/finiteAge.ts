/**
 * Prepares an age for the log: JSON has no infinity, which is the age of what was never confirmed.
 *
 * @param age - Milliseconds.
 * @returns Whole milliseconds.
 */
export const finiteAge = (age: number): number => Math.round(Math.min(age, Number.MAX_SAFE_INTEGER));
