/** Reads whole bodies, each up to a bound: a replica in trouble may send bytes that never end. */
import { upstreamError } from "../errors.ts";
import { createGrowingBytes } from "../growingBytes.ts";

/** Longest body that is kept in memory, bytes. */
export const maxCollectedBytes = 8_388_608;

/** Longest body of an error answer, bytes. */
export const maxErrorBytes = 262_144;

/**
 * Reads a body to its end and returns it as one buffer. Errors of the body are passed on.
 *
 * @param limit - Bytes.
 * @throws `UpstreamError` with the fault `endless` where the body is longer; its connection is closed.
 */
export const collectBody = async (
  body: AsyncIterable<Buffer>,
  limit: number = maxCollectedBytes,
): Promise<Buffer> => {
  const contents = createGrowingBytes(limit);
  for await (const chunk of body) {
    if (contents.length() + chunk.length > limit)
      throw upstreamError(`the body is longer than ${limit} bytes`, "endless", "streaming");
    contents.append(chunk);
  }
  return contents.bytes();
};

/** What may be read of a body that is not needed, so that its connection can be used again. */
export interface DiscardLimits {
  /** Bytes. */
  readonly bytes: number;
  /** Milliseconds. */
  readonly time: number;
}

/**
 * Reads a body that is not needed. Its connection is closed where it does not end within the limits.
 *
 * @param after - Resolves after the given time, milliseconds.
 * @returns Whether the body kept within the limit of bytes, as far as it was read.
 */
export const discardBody = async (
  body: AsyncIterable<Buffer>,
  limits: DiscardLimits,
  after: (time: number) => Promise<unknown>,
): Promise<boolean> => {
  const chunks = body[Symbol.asyncIterator]();
  let length = 0;
  const read = async (): Promise<void> => {
    for (let next = await chunks.next(); next.done !== true; next = await chunks.next()) {
      length += next.value.length;
      if (length > limits.bytes) return;
    }
  };
  // An answer that breaks off here has shown its status already.
  await Promise.race([read().catch(() => undefined), after(limits.time)]);
  await chunks.return?.();
  return length <= limits.bytes;
};
