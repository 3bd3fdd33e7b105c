import { Writable } from "node:stream";
import { describe, it } from "node:test";
import { expect } from "earl";
import { createBoundedLogSink } from "./boundedLogSink.ts";

/** An output that takes what is written, or whose reader has stopped. */
const createOutput = (isRead: () => boolean) => {
  const lines: Record<string, unknown>[] = [];
  const waiting: (() => void)[] = [];
  const output = new Writable({
    write: (chunk: Buffer, _encoding, done) => {
      lines.push(JSON.parse(chunk.toString()) as Record<string, unknown>);
      if (isRead()) done();
      else waiting.push(done);
    },
  });
  return { output, lines, readOn: () => waiting.forEach((done) => done()) };
};

describe("bounded lines", () => {
  it("leave out what exceeds the rate, and say how many", () => {
    let now = 0;
    const { output, lines } = createOutput(() => true);
    const write = createBoundedLogSink({
      output,
      fields: { router: "r" },
      now: () => now,
      linesPerSecond: 10,
      mostBytesWaiting: 1_000_000,
    });
    for (let count = 0; count < 25; count += 1) write("part", "event", { count });
    expect(lines.length).toEqual(10);
    now = 1_000;
    write("part", "event", { count: 25 });
    expect(lines.slice(10).map(({ event, lines: left, count }) => [event, left, count])).toEqual([
      ["left_out", 15, undefined],
      ["event", undefined, 25],
    ]);
    expect(lines.every(({ router }) => router === "r")).toEqual(true);
  });

  it("never wait for a reader that has stopped, and hold back a bounded number of bytes", () => {
    const { output, lines } = createOutput(() => false);
    const write = createBoundedLogSink({
      output,
      fields: {},
      now: () => 0,
      linesPerSecond: 1_000_000,
      mostBytesWaiting: 10_000,
    });
    for (let count = 0; count < 10_000; count += 1) write("part", "event", { text: "x".repeat(100) });
    expect(lines.length).toEqual(1);
    expect(output.writableLength < 10_500).toEqual(true);
  });
});
