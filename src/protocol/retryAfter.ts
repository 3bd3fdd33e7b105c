/** `Retry-After` of HTTP answers: seconds, with fractions, or a date (RFC 9110, section 10.2.3). */

const millisecondsPerSecond = 1_000;

const secondsPattern = /^\d+(\.\d+)?$/;

/** `Sun, 06 Nov 1994 08:49:37 GMT`: the only form of a date that may be sent. */
const datePattern = /^[A-Z][a-z]{2}, \d{2} [A-Z][a-z]{2} \d{4} \d{2}:\d{2}:\d{2} GMT$/;

const parseDate = (text: string | undefined): number =>
  text !== undefined && datePattern.test(text) ? Date.parse(text) : Number.NaN;

/**
 * Decodes the header.
 *
 * @param sentAt - The answer's own `Date` header. A date counts from there: clocks of two VMs differ.
 * @returns Milliseconds; `unreadable` for anything else, nothing without the header.
 */
export const parseRetryAfter = (
  text: string | undefined,
  sentAt: string | undefined,
): number | "unreadable" | undefined => {
  if (text === undefined) return undefined;
  const trimmed = text.trim();
  if (secondsPattern.test(trimmed)) return Number(trimmed) * millisecondsPerSecond;
  const delay = parseDate(trimmed) - parseDate(sentAt);
  return Number.isNaN(delay) ? "unreadable" : Math.max(0, delay);
};
