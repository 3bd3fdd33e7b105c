/**
 * Joins chunks into one buffer whose memory is proportional to their bytes, however small they are. Large contents are
 * kept in a resizable buffer: it grows without a copy, and releasing it frees its memory without waiting for the
 * garbage collector.
 */

/** Contents up to this size are kept in ordinary buffers, bytes. */
const resizableFrom = 262_144;

/** Bytes by which a resizable buffer grows. */
const growthStep = 262_144;

const smallestBuffer = 4_096;

/** The contents so far. */
export interface GrowingBytes {
  readonly length: () => number;
  /** @returns Bytes that have to be allocated before a chunk can be appended. */
  readonly missingFor: (chunk: Uint8Array) => number;
  readonly append: (chunk: Buffer) => void;
  /** @returns The contents; valid until they are released. */
  readonly bytes: () => Buffer;
  readonly release: () => void;
}

const noBytes = Buffer.alloc(0);

/**
 * Creates empty contents.
 *
 * @param limit - The most bytes that are appended.
 */
export const createGrowingBytes = (limit: number): GrowingBytes => {
  let length = 0;
  /** The first chunk itself, until a second one arrives. */
  let first: Buffer | undefined;
  let plain: Buffer = noBytes;
  let resizable: ArrayBuffer | undefined;
  let target: Uint8Array = noBytes;

  const allocated = (): number => first?.length ?? target.length;

  const sizeFor = (needed: number): number => {
    if (needed <= resizableFrom)
      return Math.min(limit, Math.max(smallestBuffer, 2 ** Math.ceil(Math.log2(needed))));
    return Math.min(limit, Math.ceil(needed / growthStep) * growthStep);
  };

  const sizeWith = (chunk: Uint8Array): number => {
    const needed = length + chunk.length;
    if (length === 0) return chunk.length;
    return needed <= target.length ? target.length : sizeFor(needed);
  };

  const copyTo = (next: Uint8Array): void => {
    next.set((first ?? target).subarray(0, length));
    first = undefined;
    target = next;
  };

  const grow = (size: number): void => {
    if (size <= resizableFrom) {
      plain = Buffer.allocUnsafeSlow(size);
      copyTo(plain);
    } else if (resizable === undefined) {
      resizable = new ArrayBuffer(size, { maxByteLength: limit });
      copyTo(new Uint8Array(resizable));
    } else resizable.resize(size);
  };

  return {
    length: () => length,
    missingFor: (chunk) => sizeWith(chunk) - allocated(),
    append: (chunk) => {
      if (length === 0) first = chunk;
      else {
        const size = sizeWith(chunk);
        if (size > target.length) grow(size);
        target.set(chunk, length);
      }
      length += chunk.length;
    },
    bytes: () => {
      if (first !== undefined) return first;
      return resizable === undefined ? plain.subarray(0, length) : Buffer.from(resizable, 0, length);
    },
    release: () => {
      resizable?.resize(0);
      resizable = undefined;
      first = undefined;
      plain = noBytes;
      target = noBytes;
      length = 0;
    },
  };
};
