/**
 * Schemas of values that everything behind a decoder can use: addresses connect, texts fit into messages and headers,
 * and numbers can be counted with, encoded and passed to timers. A value of the right type that can't be used would be
 * found only later, by a timer or a task in the background.
 */
import { z } from "zod";
import { isPort, parseHostAndPort, parseNetworkAddress } from "./networkAddress.ts";

/** The longest text in a message between routers, bytes of UTF-8. */
export const maxTextBytes = 255;

/** The longest delay of a timer, milliseconds; Node.js fires timers with a longer one at once. */
export const maxTimerDelay = 2 ** 31 - 1;

/** Characters that HTTP clients accept in the value of a header. */
const headerPattern = /^[\t\x20-\x7e\x80-\xff]*$/;

/** Halves of surrogate pairs alone, which UTF-8 can't express. */
const loneSurrogates = /\p{Surrogate}/gu;

/** Whether a text can be encoded into messages between routers. */
export const fitsMessage = (text: string): boolean =>
  Buffer.byteLength(text) <= maxTextBytes && text.search(loneSurrogates) < 0;

const encoder = new TextEncoder();

/** @returns The longest beginning of a text that fits into messages; lone surrogates are replaced. */
export const shortenText = (text: string): string => {
  const wellFormed = text.replaceAll(loneSurrogates, "?");
  const { read } = encoder.encodeInto(wellFormed, new Uint8Array(maxTextBytes));
  return wellFormed.slice(0, read);
};

/** Whether a number is a safe integer that is not negative, as messages between routers contain them. */
export const isCount = (value: number): boolean => Number.isSafeInteger(value) && value >= 0;

/** A name that routers send to one another. */
export const messageText = z
  .string()
  .refine(fitsMessage, `must be well-formed text of at most ${maxTextBytes} bytes`);

/** A name that is also sent in headers. */
export const headerText = messageText.regex(headerPattern, "must be valid in an HTTP header");

/** A version, a sequence number or an amount. */
export const count = z.int().min(0);

/** Milliseconds; longer ones are shortened to the longest delay of a timer, 24 days. */
export const duration = z
  .number()
  .min(0)
  .transform((milliseconds) => Math.min(milliseconds, maxTimerDelay));

/** A port that a connection can be opened to. */
export const port = z.number().refine(isPort, "must be a port from 1 to 65,535");

const parsedAddress = <T>(parse: (text: string) => T | undefined) =>
  z.string().transform((text, context): T => {
    const address = parse(text);
    if (address !== undefined) return address;
    context.addIssue({ code: "custom", message: "must be IP:PORT" });
    return z.NEVER;
  });

/** `IP:PORT` that a connection can be opened to. */
export const networkAddress = parsedAddress(parseNetworkAddress);

/** `IP:PORT` that a socket can be bound to, split; port 0 stands for one that is free. */
export const hostAndPort = parsedAddress(parseHostAndPort);
