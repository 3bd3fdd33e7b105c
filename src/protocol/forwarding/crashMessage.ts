/** Datagrams between routers about requests that crash replicas. They are repeated; receiving one twice is harmless. */
import type { ByteReader } from "./byteReader.ts";
import { createByteReader } from "./byteReader.ts";
import type { ByteWriter } from "./byteWriter.ts";
import { createByteWriter } from "./byteWriter.ts";
import type { Fingerprint } from "./fingerprint.ts";

interface NumberedMessage {
  /** Identifies the message among those of all routers; a repeated message keeps its number. */
  readonly number: number;
}

/** A request that was in flight at a replica when it crashed. */
export interface Suspect {
  readonly fingerprint: Fingerprint;
  /** Whether part of its response had arrived. Such a request is less suspect: most crashes happen at the start. */
  readonly hasBegun: boolean;
}

/** The crash of a replica's process. */
export interface ReplicaCrash {
  /** The id of the replica's incarnation. */
  readonly replica: string;
  /** The requests in flight at the time. */
  readonly suspects: readonly Suspect[];
}

/** Announces crashes of replicas at which the sender had requests in flight. */
export interface CrashUpdates extends NumberedMessage {
  readonly kind: "crash";
  readonly crashes: readonly ReplicaCrash[];
}

/**
 * Announces requests that are quarantined from now on (`held`), or that a replica has answered completely and that are
 * therefore released (`answered`).
 */
export interface QuarantineUpdates extends NumberedMessage {
  readonly kind: "held" | "answered";
  readonly fingerprints: readonly Fingerprint[];
}

export type CrashMessage = CrashUpdates | QuarantineUpdates;

/** The first byte of each datagram, which distinguishes it from the other datagrams between routers. */
const messageTypes = { crash: 0x51, held: 0x52, answered: 0x53 } as const;

const writeCrash = (writer: ByteWriter, { replica, suspects }: ReplicaCrash): void => {
  writer.shortText(replica);
  writer.list(suspects, ({ fingerprint, hasBegun }) => {
    writer.shortText(fingerprint);
    writer.uint8(hasBegun ? 1 : 0);
  });
};

/** Encodes a crash message as a datagram. */
export const encodeCrashMessage = (message: CrashMessage): Buffer => {
  const writer = createByteWriter();
  writer.uint8(messageTypes[message.kind]);
  writer.varint(message.number);
  if (message.kind === "crash") writer.list(message.crashes, (crash) => writeCrash(writer, crash));
  else writer.list(message.fingerprints, writer.shortText);
  return writer.finish();
};

/** The fields are evaluated in source order, which must be the order of the bytes. */
const readCrash = (reader: ByteReader): ReplicaCrash => ({
  replica: reader.shortText(),
  suspects: reader.list(() => ({ fingerprint: reader.shortText(), hasBegun: reader.uint8() === 1 })),
});

const readMessage = (reader: ByteReader, messageType: number): CrashMessage => {
  const number = reader.varint();
  if (messageType === messageTypes.crash)
    return { kind: "crash", number, crashes: reader.list(() => readCrash(reader)) };
  const kind = messageType === messageTypes.held ? "held" : "answered";
  return { kind, number, fingerprints: reader.list(reader.shortText) };
};

/** @returns The decoded message, or `undefined` if the datagram is not a crash message. */
export const decodeCrashMessage = (datagram: Buffer): CrashMessage | undefined => {
  const messageType = datagram[0];
  if (
    messageType !== messageTypes.crash &&
    messageType !== messageTypes.held &&
    messageType !== messageTypes.answered
  )
    return undefined;
  const reader = createByteReader(datagram);
  try {
    const message = readMessage(reader, reader.uint8());
    return reader.isAtEnd() ? message : undefined;
  } catch (error) {
    // Truncated, or not from a router: dropped without a reply, since messages are repeated.
    if (error instanceof RangeError) return undefined;
    throw error;
  }
};
