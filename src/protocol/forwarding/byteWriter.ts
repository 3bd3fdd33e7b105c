/** Writes numbers and short texts one after another into a buffer that grows. */

/** Bytes that hold most messages between routers. */
const firstSize = 512;

/** Numbers of more bits than fit a shift go by division: 7 bits a byte, the lowest first. */
const bitsPerByte = 128;

/** See {@link createByteWriter}. */
export interface ByteWriter {
  readonly byte: (value: number) => void;
  /** A whole number from 0 to 2^53 - 1, in as many bytes as it needs. */
  readonly count: (value: number) => void;
  /** A whole number of six bytes. */
  readonly key: (value: number) => void;
  readonly float: (value: number) => void;
  /** A text of at most 255 bytes. Throws `RangeError` for a longer one. */
  readonly text: (value: string) => void;
  /** The length of a list, then its items. */
  readonly list: <T>(items: readonly T[], writeItem: (item: T) => void) => void;
  /** @returns What has been written. */
  readonly finish: () => Buffer;
}

const longestText = 255;
const keyBytes = 6;
const floatBytes = 8;

/** Creates a writer that has written nothing. */
export const createByteWriter = (): ByteWriter => {
  let bytes = Buffer.allocUnsafe(firstSize);
  let end = 0;

  const reserve = (size: number): number => {
    if (end + size > bytes.length) {
      const grown = Buffer.allocUnsafe((end + size) * 2);
      bytes.copy(grown, 0, 0, end);
      bytes = grown;
    }
    const at = end;
    end += size;
    return at;
  };

  const byte = (value: number): void => {
    const at = reserve(1);
    bytes[at] = value;
  };

  const count = (value: number): void => {
    let rest = value;
    while (rest >= bitsPerByte) {
      byte((rest % bitsPerByte) + bitsPerByte);
      rest = Math.floor(rest / bitsPerByte);
    }
    byte(rest);
  };

  return {
    byte,
    count,
    key: (value) => {
      const at = reserve(keyBytes);
      bytes.writeUIntBE(value, at, keyBytes);
    },
    float: (value) => {
      const at = reserve(floatBytes);
      bytes.writeDoubleBE(value, at);
    },
    text: (value) => {
      const size = Buffer.byteLength(value);
      if (size > longestText) throw new RangeError(`a text of ${size} bytes is too long for a message`);
      byte(size);
      const at = reserve(size);
      bytes.write(value, at);
    },
    list: (items, writeItem) => {
      count(items.length);
      items.forEach(writeItem);
    },
    finish: () => bytes.subarray(0, end),
  };
};
