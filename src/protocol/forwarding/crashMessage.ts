/** Datagrams between routers about requests that crash replicas. They are repeated; receiving one twice is harmless. */
import type { ByteReader } from "./byteReader.ts";
import { createByteReader } from "./byteReader.ts";
import type { ByteWriter } from "./byteWriter.ts";
import { createByteWriter } from "./byteWriter.ts";
import type { Fingerprint } from "./fingerprint.ts";
import type { RequestTrait, TraitKind } from "./requestTrait.ts";
import { traitKinds } from "./requestTrait.ts";

interface NumberedMessage {
  /** Identifies the message among those of all routers; a repeated message keeps its number. */
  readonly number: number;
}

/** A trait of requests that were in flight at a replica when it crashed. */
export interface Suspect {
  readonly kind: TraitKind;
  readonly fingerprint: Fingerprint;
  /** Whether part of a response had arrived. Such a request is less suspect: most crashes happen at the start. */
  readonly hasBegun: boolean;
  /** Whether a request with this trait was answered completely not long before. */
  readonly isProven: boolean;
}

/** The crash of a replica's process. */
export interface ReplicaCrash {
  /** The id of the replica's incarnation. */
  readonly replica: string;
  /** The traits of the requests in flight at the time. */
  readonly suspects: readonly Suspect[];
}

/** Announces crashes of replicas at which the sender had requests in flight. */
export interface CrashUpdates extends NumberedMessage {
  readonly kind: "crash";
  readonly crashes: readonly ReplicaCrash[];
}

/** Announces traits whose requests are quarantined from now on. */
export interface QuarantinedUpdates extends NumberedMessage {
  readonly kind: "held";
  readonly traits: readonly RequestTrait[];
}

/** Announces traits that a replica has answered completely, so that they are released. */
export interface AnsweredUpdates extends NumberedMessage {
  readonly kind: "answered";
  readonly fingerprints: readonly Fingerprint[];
}

/** Asks the receiver for all that it has quarantined; it answers with `held`. */
export interface QuarantineQuery extends NumberedMessage {
  readonly kind: "query";
}

export type CrashMessage = CrashUpdates | QuarantinedUpdates | AnsweredUpdates | QuarantineQuery;

/** The first byte of each datagram, which distinguishes it from the other datagrams between routers. */
const messageTypes = { crash: 0x54, held: 0x55, answered: 0x53, query: 0x56 } as const;

const kindsByType = new Map(
  (Object.keys(messageTypes) as CrashMessage["kind"][]).map((kind) => [messageTypes[kind] as number, kind]),
);

/** Bits of the byte that describes a suspect; the bits above them hold the kind of the trait. */
const suspectBits = { hasBegun: 1, isProven: 2, kindShift: 2 } as const;

const writeSuspect = (writer: ByteWriter, { kind, fingerprint, hasBegun, isProven }: Suspect): void => {
  writer.shortText(fingerprint);
  const flags = (hasBegun ? suspectBits.hasBegun : 0) | (isProven ? suspectBits.isProven : 0);
  writer.uint8(flags | (traitKinds.indexOf(kind) << suspectBits.kindShift));
};

const writeCrash = (writer: ByteWriter, { replica, suspects }: ReplicaCrash): void => {
  writer.shortText(replica);
  writer.list(suspects, (suspect) => writeSuspect(writer, suspect));
};

const writeTrait = (writer: ByteWriter, { kind, name, fingerprint }: RequestTrait): void => {
  writer.uint8(traitKinds.indexOf(kind));
  writer.shortText(name);
  writer.shortText(fingerprint);
};

/** Encodes a crash message as a datagram. */
export const encodeCrashMessage = (message: CrashMessage): Buffer => {
  const writer = createByteWriter();
  writer.uint8(messageTypes[message.kind]);
  writer.varint(message.number);
  if (message.kind === "crash") writer.list(message.crashes, (crash) => writeCrash(writer, crash));
  else if (message.kind === "held") writer.list(message.traits, (trait) => writeTrait(writer, trait));
  else if (message.kind === "answered") writer.list(message.fingerprints, writer.shortText);
  return writer.finish();
};

/** @throws `RangeError` for a kind of a later version. */
const kindAt = (index: number): TraitKind => {
  const kind = traitKinds[index];
  if (kind === undefined) throw new RangeError(`unknown kind of trait ${index}`);
  return kind;
};

const readSuspect = (reader: ByteReader): Suspect => {
  const fingerprint = reader.shortText();
  const flags = reader.uint8();
  return {
    kind: kindAt(flags >> suspectBits.kindShift),
    fingerprint,
    hasBegun: (flags & suspectBits.hasBegun) !== 0,
    isProven: (flags & suspectBits.isProven) !== 0,
  };
};

/** The fields are evaluated in source order, which must be the order of the bytes. */
const readCrash = (reader: ByteReader): ReplicaCrash => ({
  replica: reader.shortText(),
  suspects: reader.list(() => readSuspect(reader)),
});

const readTrait = (reader: ByteReader): RequestTrait => ({
  kind: kindAt(reader.uint8()),
  name: reader.shortText(),
  fingerprint: reader.shortText(),
});

const readMessage = (reader: ByteReader, kind: CrashMessage["kind"]): CrashMessage => {
  const number = reader.varint();
  if (kind === "crash") return { kind, number, crashes: reader.list(() => readCrash(reader)) };
  if (kind === "held") return { kind, number, traits: reader.list(() => readTrait(reader)) };
  if (kind === "answered") return { kind, number, fingerprints: reader.list(reader.shortText) };
  return { kind, number };
};

/** @returns The decoded message, or `undefined` if the datagram is not a crash message. */
export const decodeCrashMessage = (datagram: Buffer): CrashMessage | undefined => {
  const kind = kindsByType.get(datagram[0] ?? 0);
  if (kind === undefined) return undefined;
  const reader = createByteReader(datagram);
  try {
    reader.uint8();
    const message = readMessage(reader, kind);
    return reader.isAtEnd() ? message : undefined;
  } catch (error) {
    // Truncated, or not from a router: dropped without a reply, since messages are repeated.
    if (error instanceof RangeError) return undefined;
    throw error;
  }
};
