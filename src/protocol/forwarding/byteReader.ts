/** Reads what a byte writer has written; every read throws `RangeError` where the bytes end or make no sense. */

const bitsPerByte = 128;
const keyBytes = 6;
const floatBytes = 8;

/** See {@link createByteReader}. */
export interface ByteReader {
  readonly byte: () => number;
  readonly count: () => number;
  readonly key: () => number;
  readonly float: () => number;
  readonly text: () => string;
  /** @returns A list: its length, then as many items. */
  readonly list: <T>(readItem: () => T) => T[];
  readonly isAtEnd: () => boolean;
}

/** Creates a reader at the beginning of some bytes. */
export const createByteReader = (bytes: Buffer): ByteReader => {
  let position = 0;

  const take = (size: number): number => {
    const at = position;
    position += size;
    if (position > bytes.length) throw new RangeError("the message ends too early");
    return at;
  };

  const byte = (): number => bytes.readUInt8(take(1));

  const count = (): number => {
    let value = 0;
    for (let scale = 1; ; scale *= bitsPerByte) {
      const part = byte();
      value += (part % bitsPerByte) * scale;
      if (!Number.isSafeInteger(value)) throw new RangeError("a number of the message is too large");
      if (part < bitsPerByte) return value;
    }
  };

  return {
    byte,
    count,
    key: () => bytes.readUIntBE(take(keyBytes), keyBytes),
    float: () => {
      const value = bytes.readDoubleBE(take(floatBytes));
      if (!Number.isFinite(value)) throw new RangeError("a time of the message is no number");
      return value;
    },
    text: () => {
      const size = byte();
      const at = take(size);
      return bytes.toString("utf8", at, at + size);
    },
    list: (readItem) => {
      const length = count();
      // Every item has a byte at least: a length that can't be true must not reserve memory.
      if (length > bytes.length - position) throw new RangeError("a list of the message is too long");
      return Array.from({ length }, readItem);
    },
    isAtEnd: () => position === bytes.length,
  };
};
