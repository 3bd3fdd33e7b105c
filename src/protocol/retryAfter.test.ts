import { describe, it } from "node:test";
import { expect } from "earl";
import { parseRetryAfter } from "./retryAfter.ts";

const parse = (text: string): unknown => parseRetryAfter(text, undefined);

describe("parseRetryAfter", () => {
  it("accepts seconds with and without fractions", () => {
    expect(["3", "1.5", " 2 ", "0", "31536000"].map(parse)).toEqual([3_000, 1_500, 2_000, 0, 31_536_000_000]);
  });

  it("marks anything else as unreadable", () => {
    const texts = ["", "-1", "soon", "1,5", "NaN", "Infinity", "0x10", "1e9", "."];
    expect(texts.map(parse)).toEqual(texts.map(() => "unreadable"));
  });

  it("counts the delay to a date from the Date header, not from the local clock", () => {
    const sentAt = "Sun, 06 Nov 1994 08:49:37 GMT";
    expect(parseRetryAfter("Sun, 06 Nov 1994 08:49:40 GMT", sentAt)).toEqual(3_000);
    expect(parseRetryAfter("Sun, 06 Nov 1994 08:49:30 GMT", sentAt)).toEqual(0);
    expect(parseRetryAfter("Sun, 06 Nov 1994 08:49:40 GMT", undefined)).toEqual("unreadable");
    expect(parseRetryAfter("6 Nov 1994", sentAt)).toEqual("unreadable");
  });

  it("returns undefined without the header", () => {
    expect(parseRetryAfter(undefined, undefined)).toEqual(undefined);
  });
});
