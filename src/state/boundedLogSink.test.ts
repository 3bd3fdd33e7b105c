import { Writable } from "node:stream";
import { describe, it } from "node:test";
import { expect } from "earl";
import { createBoundedLogSink } from "./boundedLogSink.ts";

/** An output that records the lines written to it; while `isRead` returns false, its writes stay pending. */
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
  return { output, lines, resumeReading: () => waiting.forEach((done) => done()) };
};

describe("createBoundedLogSink", () => {
  it("drops lines beyond the rate and reports their number", () => {
    let now = 0;
    const { output, lines } = createOutput(() => true);
    const write = createBoundedLogSink({
      output,
      fields: { router: "r" },
      now: () => now,
      linesPerSecond: 10,
      maxBufferedBytes: 1_000_000,
    });
    for (let count = 0; count < 25; count += 1) write("part", "event", { count });
    expect(lines.length).toEqual(10);
    now = 1_000;
    write("part", "event", { count: 25 });
    expect(
      lines.slice(10).map(({ event, lines: leftOutLines, count }) => [event, leftOutLines, count]),
    ).toEqual([
      ["left_out", 15, undefined],
      ["event", undefined, 25],
    ]);
    expect(lines.every(({ router }) => router === "r")).toEqual(true);
  });

  it("does not wait for a stopped reader and buffers a bounded number of bytes", () => {
    const { output, lines } = createOutput(() => false);
    const write = createBoundedLogSink({
      output,
      fields: {},
      now: () => 0,
      linesPerSecond: 1_000_000,
      maxBufferedBytes: 10_000,
    });
    for (let count = 0; count < 10_000; count += 1) write("part", "event", { text: "x".repeat(100) });
    expect(lines.length).toEqual(1);
    expect(output.writableLength < 10_500).toEqual(true);
  });
});
