import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { createEventScanner } from "./eventScanner.ts";

const scanAll = (...chunks: readonly string[]) => {
  const scanner = createEventScanner();
  const ends = chunks.map((chunk) => scanner.scan(Buffer.from(chunk)));
  return { ends, events: scanner.eventCount(), unfinished: scanner.unfinishedBytes() };
};

describe("event scanner", () => {
  for (const [name, text] of [
    ["LF", "id: 1\ndata: a\n\n"],
    ["CR LF", "id: 1\r\ndata: a\r\n\r\n"],
    ["CR", "id: 1\rdata: a\r\r"],
    ["mixed line ends", "id: 1\rdata: a\r\n\n"],
    ["a byte order mark", "\uFEFFdata: a\n\n"],
    ["a comment after it", "data: a\n\n: ping\n"],
    ["a comment inside it", "data: a\n: ping\ndata: b\n\n"],
    ["empty lines after it", "data: a\n\n\r\n\n"],
  ] as const) {
    it(`finds the end of an event with ${name}`, () => {
      expect(scanAll(text)).toEqual({ ends: [Buffer.byteLength(text)], events: 1, unfinished: 0 });
    });
  }

  for (const [name, rest] of [
    ["inside a data line", "id: 2\ndata: ha"],
    ["after a line, before the empty line", "id: 2\ndata: half\n"],
    ["inside the name of a field", "da"],
    ["after a carriage return", "data: half\r"],
    ["inside a comment", ": pi"],
    ["after a comment inside an event", "data: half\n: ping\n"],
  ] as const) {
    it(`counts the bytes of a stream that ends ${name}`, () => {
      const whole = "id: 1\ndata: a\n\n";
      expect(scanAll(whole + rest)).toEqual({ ends: [whole.length], events: 1, unfinished: rest.length });
    });
  }

  it("takes a line feed that arrives after its carriage return for the same line end", () => {
    expect(scanAll("data: a\r\n\r", "\ndata: b", "\r", "\n")).toEqual({
      ends: [0, 1, 0, 0],
      events: 1,
      unfinished: 9,
    });
  });

  it("takes a carriage return for an empty line even if the line before ended with a pair", () => {
    expect(scanAll("data: a\r\n\r")).toEqual({ ends: [0], events: 1, unfinished: 0 });
    expect(scanAll("data: a\r\n\r", "data: b\r\r")).toEqual({ ends: [0, 9], events: 2, unfinished: 0 });
  });

  it("finds the same ends however the stream is divided into chunks", () => {
    const piece = fc.constantFrom("\n", "\r", "\r\n", ":", "data: a", "id: 1", "\uFEFF", "x");
    fc.assert(
      fc.property(fc.array(piece, { maxLength: 12 }), (pieces) => {
        const text = pieces.join("");
        const whole = scanAll(text);
        const bytes = [...Buffer.from(text)];
        const scanner = createEventScanner();
        for (const byte of bytes) scanner.scan(Buffer.from([byte]));
        expect([scanner.eventCount(), scanner.unfinishedBytes()]).toEqual([whole.events, whole.unfinished]);
      }),
      { seed: 73, numRuns: 1_000 },
    );
  });
});
