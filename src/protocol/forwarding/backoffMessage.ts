/** The datagram that tells peers which replicas have just asked the sender to back off. */
import { createByteReader } from "./byteReader.ts";
import { createByteWriter } from "./byteWriter.ts";
import type { ReplicaKey } from "./peerMessage.ts";

/** The first byte of the datagram, which distinguishes it from the other datagrams between routers. */
const messageType = 0x61;

/** Encodes a backoff message as a datagram. */
export const encodeBackoffMessage = (replicas: readonly ReplicaKey[]): Buffer => {
  const writer = createByteWriter();
  writer.uint8(messageType);
  writer.list(replicas, writer.uint48);
  return writer.finish();
};

/** @returns The replicas, or `undefined` if the datagram is not a backoff message. */
export const decodeBackoffMessage = (datagram: Buffer): readonly ReplicaKey[] | undefined => {
  if (datagram[0] !== messageType) return undefined;
  const reader = createByteReader(datagram);
  try {
    reader.uint8();
    const replicas = reader.list(reader.uint48);
    return reader.isAtEnd() ? replicas : undefined;
  } catch (error) {
    // Truncated, or not from a router: dropped without a reply, since the next message follows soon.
    if (error instanceof RangeError) return undefined;
    throw error;
  }
};
