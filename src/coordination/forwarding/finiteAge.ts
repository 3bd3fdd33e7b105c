/** JSON has no infinity, which is the age of what was never confirmed. @returns Whole milliseconds. */
export const finiteAge = (age: number): number => Math.round(Math.min(age, Number.MAX_SAFE_INTEGER));
