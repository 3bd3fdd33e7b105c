import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { createByteReader } from "./byteReader.ts";
import { createByteWriter } from "./byteWriter.ts";

describe("numbers in messages between routers", () => {
  it("are encoded, whatever they are, as one that the receiver takes: one that it can't drops the whole message", () => {
    fc.assert(
      fc.property(
        fc.oneof(fc.double(), fc.constantFrom(1e300, -1, 2 ** 53, Number.POSITIVE_INFINITY)),
        (value) => {
          const writer = createByteWriter();
          writer.varint(value);
          writer.uint48(value);
          const reader = createByteReader(writer.finish());
          expect([Number.isSafeInteger(reader.varint()), reader.uint48() >= 0, reader.isAtEnd()]).toEqual([
            ...[true, true, true],
          ]);
        },
      ),
      { seed: 88 },
    );
  });
});
