/**
 * Datagrams between routers and the owners of replicas (an owner is the router that collects the load of a replica from
 * all routers): reports of a router's work at a replica, and queries about replicas with their answers. Each is valid
 * for a few milliseconds and never retransmitted.
 */
import type { ByteReader } from "./byteReader.ts";
import { createByteReader } from "./byteReader.ts";
import type { ByteWriter } from "./byteWriter.ts";
import { createByteWriter } from "./byteWriter.ts";
import type { AnnouncedHolder, OrganisationTokens, ReplicaKey } from "./peerMessage.ts";
import type { ReportedLimitMessage } from "./reportedLimitMessage.ts";
import { readOptionalReportedLimit, writeOptionalReportedLimit } from "./reportedLimitMessage.ts";
import { readAmounts, readHolders, writeAmounts, writeHolders } from "./peerMessage.ts";

/** A router's whole work at one replica, and the state in which the router sees the replica. */
export interface WorkReport {
  readonly replica: ReplicaKey;
  readonly requests: number;
  /** Prompt tokens of the requests without a first token, by priority; missing trailing entries are 0. */
  readonly promptTokens: readonly number[];
  /** The same tokens by organisation, where organisations are counted. */
  readonly organisations: readonly OrganisationTokens[];
  /** Memory tokens that the requests hold or will need; 0 where memory is not counted. */
  readonly reservedTokens: number;
  /** Prompt tokens computed there for this router since the router started. */
  readonly computedTokens: number;
  /** Prompt tokens of this router's requests whose first token has arrived; 0 where speeds are not learned from it. */
  readonly prefilledTokens: number;
  /** Whether the router fails to connect to the replica. */
  readonly isUnreachable: boolean;
  /** Whether the replica asked the router to back off. */
  readonly isBackingOff: boolean;
  /** The limit that the replica's responses report; `undefined` if the router knows of none. */
  readonly limit: ReportedLimitMessage | undefined;
}

/** Reports a router's work to an owner. */
export interface WorkMessage {
  readonly kind: "work";
  readonly name: string;
  /** Changes with every start of the sender. */
  readonly incarnation: string;
  /** Increases with every message of the sender's process, so that the owner ignores reports that arrive late. */
  readonly sequence: number;
  readonly reports: readonly WorkReport[];
  /** Prompt parts that replicas compute or have cached. */
  readonly holders: readonly AnnouncedHolder[];
}

/** Asks an owner about replicas before a request is placed. */
export interface AskMessage {
  readonly kind: "ask";
  readonly name: string;
  /** Identifies the query in its answer. */
  readonly number: number;
  readonly replicas: readonly ReplicaKey[];
  /** The keys of the prompt's parts. */
  readonly parts: readonly number[];
  /** The key of the request's organisation, whose prompts the answer counts; 0 for none. */
  readonly organisation: number;
}

/** The load of a replica as its owner knows it, without the work of the router that asks. */
export interface ReplicaLoadReport {
  readonly replica: ReplicaKey;
  readonly requests: number;
  readonly promptTokens: readonly number[];
  /** The entry of the organisation that the query names; empty if it has no prompts there. */
  readonly organisations: readonly OrganisationTokens[];
  readonly reservedTokens: number;
  /** Prompt tokens that the replica computes per millisecond, as its owner estimates; 0 if unknown. */
  readonly prefillRate: number;
  /** Milliseconds for which other replicas are preferred, since this one failed or asked a router to back off. */
  readonly ejectedFor: number;
  /** The limit that the replica's responses reported recently; `undefined` if the owner knows of none. */
  readonly limit: ReportedLimitMessage | undefined;
}

/** An owner's answer. */
export interface AnswerMessage {
  readonly kind: "answer";
  readonly number: number;
  readonly reports: readonly ReplicaLoadReport[];
  /** The requested prompt parts that were used before, also if no replica has them cached any more. */
  readonly usedParts: readonly number[];
  /** The replicas that have the requested prompt parts cached or compute them. */
  readonly holders: readonly AnnouncedHolder[];
}

export type OwnerMessage = WorkMessage | AskMessage | AnswerMessage;

/** The first byte of each datagram, which distinguishes it from the other datagrams between routers. */
const messageTypes = { work: 0x21, ask: 0x22, answer: 0x23 } as const;

/** Rates are sent as whole numbers of this part of a token per millisecond. */
const rateResolution = 16;

/** Bit flags of one byte. Routers that know only the first flag read any other value as no flag. */
const conditions = { unreachable: 1, backingOff: 2, prefilled: 4 } as const;

const encodeConditions = ({ isUnreachable, isBackingOff, prefilledTokens }: WorkReport): number =>
  (isUnreachable ? conditions.unreachable : 0) |
  (isBackingOff ? conditions.backingOff : 0) |
  (prefilledTokens > 0 ? conditions.prefilled : 0);

const writeWork = (writer: ByteWriter, message: WorkMessage): void => {
  writer.shortText(message.name);
  writer.shortText(message.incarnation);
  writer.varint(message.sequence);
  writer.list(message.reports, (report) => {
    writer.uint48(report.replica);
    writeAmounts(writer, report);
    writer.varint(report.computedTokens);
    writer.uint8(encodeConditions(report));
    if (report.prefilledTokens > 0) writer.varint(report.prefilledTokens);
    writeOptionalReportedLimit(writer, report.limit);
  });
  writeHolders(writer, message.holders);
};

const writeAsk = (writer: ByteWriter, message: AskMessage): void => {
  writer.shortText(message.name);
  writer.varint(message.number);
  writer.list(message.replicas, writer.uint48);
  writer.list(message.parts, writer.varint);
  writer.varint(message.organisation);
};

const writeAnswer = (writer: ByteWriter, message: AnswerMessage): void => {
  writer.varint(message.number);
  writer.list(message.reports, (report) => {
    writer.uint48(report.replica);
    writeAmounts(writer, report);
    writer.varint(Math.round(report.prefillRate * rateResolution));
    writer.varint(report.ejectedFor);
    writeOptionalReportedLimit(writer, report.limit);
  });
  writer.list(message.usedParts, writer.varint);
  writeHolders(writer, message.holders);
};

/**
 * Encodes an owner message as a datagram.
 *
 * @param message - Its numbers must be non-negative integers.
 */
export const encodeOwnerMessage = (message: OwnerMessage): Buffer => {
  const writer = createByteWriter();
  writer.uint8(messageTypes[message.kind]);
  if (message.kind === "work") writeWork(writer, message);
  else if (message.kind === "ask") writeAsk(writer, message);
  else writeAnswer(writer, message);
  return writer.finish();
};

const readWorkReport = (reader: ByteReader): WorkReport => {
  const replica = reader.uint48();
  const amounts = readAmounts(reader);
  const computedTokens = reader.varint();
  const condition = reader.uint8();
  return {
    replica,
    ...amounts,
    computedTokens,
    prefilledTokens: (condition & conditions.prefilled) === 0 ? 0 : reader.varint(),
    isUnreachable: (condition & conditions.unreachable) !== 0,
    isBackingOff: (condition & conditions.backingOff) !== 0,
    limit: readOptionalReportedLimit(reader),
  };
};

/** The fields are evaluated in source order, which must be the order of the bytes. */
const readWork = (reader: ByteReader): WorkMessage => ({
  kind: "work",
  name: reader.shortText(),
  incarnation: reader.shortText(),
  sequence: reader.varint(),
  reports: reader.list(() => readWorkReport(reader)),
  holders: readHolders(reader),
});

const readAsk = (reader: ByteReader): AskMessage => ({
  kind: "ask",
  name: reader.shortText(),
  number: reader.varint(),
  replicas: reader.list(reader.uint48),
  parts: reader.list(reader.varint),
  organisation: reader.varint(),
});

const readAnswer = (reader: ByteReader): AnswerMessage => ({
  kind: "answer",
  number: reader.varint(),
  reports: reader.list(() => ({
    replica: reader.uint48(),
    ...readAmounts(reader),
    prefillRate: reader.varint() / rateResolution,
    ejectedFor: reader.varint(),
    limit: readOptionalReportedLimit(reader),
  })),
  usedParts: reader.list(reader.varint),
  holders: readHolders(reader),
});

const readers = new Map<number, (reader: ByteReader) => OwnerMessage>([
  [messageTypes.work, readWork],
  [messageTypes.ask, readAsk],
  [messageTypes.answer, readAnswer],
]);

/** @returns The decoded message, or `undefined` if the datagram is not an owner message. */
export const decodeOwnerMessage = (datagram: Buffer): OwnerMessage | undefined => {
  const reader = createByteReader(datagram);
  try {
    const message = readers.get(reader.uint8())?.(reader);
    return reader.isAtEnd() ? message : undefined;
  } catch (error) {
    // Truncated, or not from a router: dropped without a reply, since the next message follows soon.
    if (error instanceof RangeError) return undefined;
    throw error;
  }
};
