/** The `Retry-After` header: a date, or seconds (RFC 9110, section 10.2.3), here also with fractions. */

import { parseDecimal } from "./headerNumbers.ts";

const millisecondsPerSecond = 1_000;

/** `Sun, 06 Nov 1994 08:49:37 GMT`: the only date format that senders may generate. */
const datePattern = /^[A-Z][a-z]{2}, \d{2} [A-Z][a-z]{2} \d{4} \d{2}:\d{2}:\d{2} GMT$/;

const parseDate = (text: string | undefined): number =>
  text !== undefined && datePattern.test(text) ? Date.parse(text) : Number.NaN;

/**
 * Parses the header.
 *
 * @param text - The value of the header.
 * @param sentAt - The `Date` header of the same answer. The delay until a date is counted from it, not from the local
 * clock, since the clocks of two VMs differ.
 * @returns The delay in milliseconds, `unreadable` if it can't be parsed, or `undefined` without the header.
 */
export const parseRetryAfter = (
  text: string | undefined,
  sentAt: string | undefined,
): number | "unreadable" | undefined => {
  if (text === undefined) return undefined;
  const trimmed = text.trim();
  const seconds = parseDecimal(trimmed);
  const delay =
    seconds === undefined ? parseDate(trimmed) - parseDate(sentAt) : seconds * millisecondsPerSecond;
  return Number.isFinite(delay) ? Math.max(0, delay) : "unreadable";
};
