/** Numbers in the headers of requests and answers. */

const integerPattern = /^\d{1,15}$/;
const decimalPattern = /^\d+(\.\d+)?$/;

/** @returns The integer; `undefined` for another text, or for more digits than a safe integer is certain to have. */
export const parseInteger = (text: string | undefined): number | undefined =>
  text !== undefined && integerPattern.test(text) ? Number(text) : undefined;

/** @returns A finite decimal number without sign and exponent; `undefined` for another text. */
export const parseDecimal = (text: string): number | undefined => {
  const value = decimalPattern.test(text) ? Number(text) : Number.NaN;
  return Number.isFinite(value) ? value : undefined;
};
