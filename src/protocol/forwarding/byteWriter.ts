/** Encodes numbers, short texts and lists into a growing buffer. */

import { maxTextBytes } from "../usableValues.ts";

/** Enough bytes for most messages between routers. */
const initialCapacity = 512;

/**
 * A varint holds 7 bits of the value in each byte, least significant first. It is encoded by division, since bitwise
 * shifts are limited to 32 bits.
 */
const varintBase = 128;

export interface ByteWriter {
  readonly uint8: (value: number) => void;
  /** An integer from 0 to 2^53 - 1, in as many bytes as it needs. Other numbers are encoded as the nearest one. */
  readonly varint: (value: number) => void;
  /** An integer of six bytes. */
  readonly uint48: (value: number) => void;
  readonly float64: (value: number) => void;
  /** UTF-8 text of at most 255 bytes. Throws `RangeError` for a longer one. */
  readonly shortText: (value: string) => void;
  /** The length of a list, followed by its items. */
  readonly list: <T>(items: readonly T[], writeItem: (item: T) => void) => void;
  /** @returns The encoded bytes. */
  readonly finish: () => Buffer;
}

const uint48Bytes = 6;
const maximumUint48 = 2 ** (8 * uint48Bytes) - 1;
const float64Bytes = 8;

/**
 * @returns The nearest number that can be encoded, rounded down: the receiver drops a whole message for one number that
 *   can't be, and an infinite one would never be encoded.
 */
const toCount = (value: number, maximum: number): number =>
  Number.isNaN(value) ? 0 : Math.floor(Math.min(maximum, Math.max(0, value)));

export const createByteWriter = (): ByteWriter => {
  let bytes = Buffer.allocUnsafe(initialCapacity);
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

  const uint8 = (value: number): void => {
    const at = reserve(1);
    bytes[at] = value;
  };

  const varint = (value: number): void => {
    let remaining = toCount(value, Number.MAX_SAFE_INTEGER);
    while (remaining >= varintBase) {
      uint8((remaining % varintBase) + varintBase);
      remaining = Math.floor(remaining / varintBase);
    }
    uint8(remaining);
  };

  return {
    uint8,
    varint,
    uint48: (value) => {
      const at = reserve(uint48Bytes);
      bytes.writeUIntBE(toCount(value, maximumUint48), at, uint48Bytes);
    },
    float64: (value) => {
      const at = reserve(float64Bytes);
      bytes.writeDoubleBE(Number.isFinite(value) ? value : 0, at);
    },
    shortText: (value) => {
      const size = Buffer.byteLength(value);
      if (size > maxTextBytes) throw new RangeError(`text of ${size} bytes is too long for a message`);
      uint8(size);
      const at = reserve(size);
      bytes.write(value, at);
    },
    list: (items, writeItem) => {
      varint(items.length);
      items.forEach(writeItem);
    },
    finish: () => bytes.subarray(0, end),
  };
};
