/** Decodes the binary format that `byteWriter.ts` encodes. */

/** A varint holds 7 bits of the value in each byte; the high bit says that another byte follows. */
const varintBase = 128;
const uint48Bytes = 6;
const float64Bytes = 8;

/** Each read advances the position, and throws `RangeError` if the bytes end too early or are malformed. */
export interface ByteReader {
  readonly uint8: () => number;
  /** An integer from 0 to 2^53 - 1, in one or more bytes. */
  readonly varint: () => number;
  readonly uint48: () => number;
  /** A finite number. */
  readonly float64: () => number;
  /** UTF-8 text of at most 255 bytes. */
  readonly shortText: () => string;
  /** A length, followed by that many items. */
  readonly list: <T>(readItem: () => T) => T[];
  readonly isAtEnd: () => boolean;
}

/** Creates a reader that starts at the first byte. */
export const createByteReader = (bytes: Buffer): ByteReader => {
  let position = 0;

  const advance = (size: number): number => {
    const at = position;
    position += size;
    if (position > bytes.length) throw new RangeError("the message is truncated");
    return at;
  };

  const uint8 = (): number => bytes.readUInt8(advance(1));

  const varint = (): number => {
    let value = 0;
    for (let scale = 1; ; scale *= varintBase) {
      const digit = uint8();
      value += (digit % varintBase) * scale;
      if (!Number.isSafeInteger(value)) throw new RangeError("an integer in the message exceeds 2^53 - 1");
      if (digit < varintBase) return value;
    }
  };

  return {
    uint8,
    varint,
    uint48: () => bytes.readUIntBE(advance(uint48Bytes), uint48Bytes),
    float64: () => {
      const value = bytes.readDoubleBE(advance(float64Bytes));
      if (!Number.isFinite(value)) throw new RangeError("a float in the message is not finite");
      return value;
    },
    shortText: () => {
      const size = uint8();
      const at = advance(size);
      return bytes.toString("utf8", at, at + size);
    },
    list: (readItem) => {
      const length = varint();
      // Every item takes at least one byte: an impossible length must not allocate memory.
      if (length > bytes.length - position)
        throw new RangeError("a list length exceeds the rest of the message");
      return Array.from({ length }, readItem);
    },
    isAtEnd: () => position === bytes.length,
  };
};
