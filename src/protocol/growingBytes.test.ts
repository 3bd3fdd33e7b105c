/** Contents of any chunk sizes come out as they went in, and are gone once they are released. */
import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { createGrowingBytes } from "./growingBytes.ts";

const limit = 1_048_576;

describe("contents of many chunks", () => {
  it("are the chunks in order", () => {
    const sizes = fc.array(fc.oneof(fc.integer({ min: 1, max: 8 }), fc.integer({ min: 1, max: 70_000 })), {
      minLength: 1,
      maxLength: 14,
    });
    fc.assert(
      fc.property(sizes, (lengths) => {
        const chunks = lengths.map((length, index) => Buffer.alloc(length, index + 1));
        const contents = createGrowingBytes(limit);
        let charged = 0;
        for (const chunk of chunks) {
          charged += contents.missingFor(chunk);
          contents.append(chunk);
          expect(charged >= contents.length()).toEqual(true);
        }
        expect(contents.bytes().equals(Buffer.concat(chunks))).toEqual(true);
      }),
      { seed: 92 },
    );
  });

  it("cost at most twice their bytes beyond a page, also in chunks of one byte: each cost an object", () => {
    const contents = createGrowingBytes(limit);
    let charged = 0;
    for (let sent = 0; sent < limit; sent += 1) {
      const chunk = Buffer.of(sent % 251);
      charged += contents.missingFor(chunk);
      contents.append(chunk);
      if (charged > Math.max(4_096, 2 * contents.length())) throw new Error(`${charged} for ${sent}`);
    }
    expect(charged).toEqual(limit);
    expect(contents.bytes()[limit - 1]).toEqual((limit - 1) % 251);
  });

  it("are empty after their release", () => {
    const contents = createGrowingBytes(limit);
    for (let count = 0; count < 10; count += 1) contents.append(Buffer.alloc(65_536, 7));
    const bytes = contents.bytes();
    contents.release();
    expect([contents.length(), bytes.length]).toEqual([0, 0]);
  });
});
