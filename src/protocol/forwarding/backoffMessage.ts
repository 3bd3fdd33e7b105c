/** Notification to peers: replicas that have just asked the sender for backoff. */
import { createByteReader } from "./byteReader.ts";
import { createByteWriter } from "./byteWriter.ts";
import type { ReplicaKey } from "./peerMessage.ts";

/** The first byte; other datagrams between routers begin with other ones. */
const form = 0x61;

/** @returns The datagram. */
export const encodeBackoffMessage = (replicas: readonly ReplicaKey[]): Buffer => {
  const writer = createByteWriter();
  writer.byte(form);
  writer.list(replicas, writer.key);
  return writer.finish();
};

/** @returns Nothing if the datagram is no such message. */
export const decodeBackoffMessage = (datagram: Buffer): readonly ReplicaKey[] | undefined => {
  if (datagram[0] !== form) return undefined;
  const reader = createByteReader(datagram);
  try {
    reader.byte();
    const replicas = reader.list(reader.key);
    return reader.isAtEnd() ? replicas : undefined;
  } catch (error) {
    // Cut off, or not from a router: there is nobody to tell, and the next message is on its way.
    if (error instanceof RangeError) return undefined;
    throw error;
  }
};
