import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { createEventBuffer } from "./eventBuffer.ts";

const events = ["id: 1\ndata: a\n\n", "x-versions: 2\nid: 2\ndata: b\n\n", "id: 3\r\ndata: c\r\n\r\n"];

describe("event buffer", () => {
  it("returns complete events in order, wherever the stream is split", () => {
    const text = events.join("");
    fc.assert(
      fc.property(fc.array(fc.nat(text.length), { maxLength: 12 }), (cuts) => {
        const buffer = createEventBuffer();
        const ends = [...new Set([...cuts, text.length])].sort((left, right) => left - right);
        let from = 0;
        let returned = "";
        for (const end of ends) {
          returned += buffer.push(Buffer.from(text.slice(from, end))).toString();
          expect(text.startsWith(returned)).toEqual(true);
          expect(
            events.some((_, index) => events.slice(0, index).join("") === returned) || returned === text,
          ).toEqual(true);
          from = end;
        }
        expect([returned, buffer.lastId()]).toEqual([text, "3"]);
      }),
      { seed: 4_711 },
    );
  });

  it("holds back the bytes after the last complete event", () => {
    const buffer = createEventBuffer("7");
    expect(buffer.push(Buffer.from("id: 8\nda")).length).toEqual(0);
    expect([buffer.remainder().toString(), buffer.lastId()]).toEqual(["id: 8\nda", "7"]);
    buffer.beginStream();
    expect(buffer.push(Buffer.from(events[0] ?? "")).toString()).toEqual(events[0] ?? "");
  });
});
