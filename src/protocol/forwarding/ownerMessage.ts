/**
 * What routers and the owners of replicas tell one another in datagrams: work that a router has at a replica, and
 * questions about replicas with their answers. Each is of use for some milliseconds; none is repeated as it was.
 */
import type { ByteReader } from "./byteReader.ts";
import { createByteReader } from "./byteReader.ts";
import type { ByteWriter } from "./byteWriter.ts";
import { createByteWriter } from "./byteWriter.ts";
import type { ReplicaKey, AnnouncedHolder } from "./peerMessage.ts";
import type { ReportedLimitMessage } from "./reportedLimitMessage.ts";
import { readOptionalWord, writeOptionalWord } from "./reportedLimitMessage.ts";
import { readHolders, writeHolders } from "./peerMessage.ts";

/** All the work that a router has at one replica, and what it has seen of it. */
export interface WorkReport {
  readonly replica: ReplicaKey;
  readonly requests: number;
  /** By priority: prompt tokens of requests without a first token; what is missing at the end is 0. */
  readonly promptTokens: readonly number[];
  /** Prompt tokens that the router has had computed there since it started. */
  readonly computedTokens: number;
  /** The router can make no connection to it. */
  readonly isUnreachable: boolean;
  /** It asked the router for backoff. */
  readonly isBackingOff: boolean;
  /** The limit that its answers named; nothing if the router knows of none. */
  readonly limit: ReportedLimitMessage | undefined;
}

/** A router tells an owner. */
export interface WorkMessage {
  readonly kind: "work";
  readonly name: string;
  /** New with every start of the sender. */
  readonly incarnation: string;
  /** Rises with every message of the sender's process: a report that was overtaken is not taken. */
  readonly sequence: number;
  readonly reports: readonly WorkReport[];
  /** Parts of prompts that replicas compute or keep. */
  readonly holders: readonly AnnouncedHolder[];
}

/** A router asks an owner before it places a request. */
export interface AskMessage {
  readonly kind: "ask";
  readonly name: string;
  /** Of the question, for the answer. */
  readonly number: number;
  readonly replicas: readonly ReplicaKey[];
  /** Keys of the prompt's parts. */
  readonly parts: readonly number[];
}

/** What an owner knows of a replica, without the asking router's own work. */
export interface ReplicaLoadReport {
  readonly replica: ReplicaKey;
  readonly requests: number;
  readonly promptTokens: readonly number[];
  /** Milliseconds for which others are to be preferred, since it failed or asked a router for backoff. */
  readonly ejectedFor: number;
  /** The limit that its answers named not long ago; nothing if the owner knows of none. */
  readonly limit: ReportedLimitMessage | undefined;
}

/** An owner answers. */
export interface AnswerMessage {
  readonly kind: "answer";
  readonly number: number;
  readonly reports: readonly ReplicaLoadReport[];
  /** Where the parts that were asked for are kept or computed. */
  readonly holders: readonly AnnouncedHolder[];
}

export type OwnerMessage = WorkMessage | AskMessage | AnswerMessage;

/** The first byte; other datagrams between routers begin with other ones. */
const forms = { work: 0x21, ask: 0x22, answer: 0x23 } as const;

/** Bits of one byte. Routers that know only the first take any other value for none. */
const conditions = { unreachable: 1, backingOff: 2 } as const;

const conditionsOf = ({ isUnreachable, isBackingOff }: WorkReport): number =>
  (isUnreachable ? conditions.unreachable : 0) | (isBackingOff ? conditions.backingOff : 0);

const writeWork = (writer: ByteWriter, message: WorkMessage): void => {
  writer.text(message.name);
  writer.text(message.incarnation);
  writer.count(message.sequence);
  writer.list(message.reports, (report) => {
    writer.key(report.replica);
    writer.count(report.requests);
    writer.list(report.promptTokens, writer.count);
    writer.count(report.computedTokens);
    writer.byte(conditionsOf(report));
    writeOptionalWord(writer, report.limit);
  });
  writeHolders(writer, message.holders);
};

const writeAsk = (writer: ByteWriter, message: AskMessage): void => {
  writer.text(message.name);
  writer.count(message.number);
  writer.list(message.replicas, writer.key);
  writer.list(message.parts, writer.count);
};

const writeAnswer = (writer: ByteWriter, message: AnswerMessage): void => {
  writer.count(message.number);
  writer.list(message.reports, (report) => {
    writer.key(report.replica);
    writer.count(report.requests);
    writer.list(report.promptTokens, writer.count);
    writer.count(report.ejectedFor);
    writeOptionalWord(writer, report.limit);
  });
  writeHolders(writer, message.holders);
};

/** @returns The datagram. Counts must be whole numbers of 0 or more. */
export const encodeOwnerMessage = (message: OwnerMessage): Buffer => {
  const writer = createByteWriter();
  writer.byte(forms[message.kind]);
  if (message.kind === "work") writeWork(writer, message);
  else if (message.kind === "ask") writeAsk(writer, message);
  else writeAnswer(writer, message);
  return writer.finish();
};

/** Object literals evaluate their fields in the order in which they are written, which is that of the bytes. */
const readReport = (reader: ByteReader): WorkReport => {
  const replica = reader.key();
  const requests = reader.count();
  const promptTokens = reader.list(reader.count);
  const computedTokens = reader.count();
  const condition = reader.byte();
  return {
    replica,
    requests,
    promptTokens,
    computedTokens,
    isUnreachable: (condition & conditions.unreachable) !== 0,
    isBackingOff: (condition & conditions.backingOff) !== 0,
    limit: readOptionalWord(reader),
  };
};

const readWork = (reader: ByteReader): WorkMessage => ({
  kind: "work",
  name: reader.text(),
  incarnation: reader.text(),
  sequence: reader.count(),
  reports: reader.list(() => readReport(reader)),
  holders: readHolders(reader),
});

const readAsk = (reader: ByteReader): AskMessage => ({
  kind: "ask",
  name: reader.text(),
  number: reader.count(),
  replicas: reader.list(reader.key),
  parts: reader.list(reader.count),
});

const readAnswer = (reader: ByteReader): AnswerMessage => ({
  kind: "answer",
  number: reader.count(),
  reports: reader.list(() => ({
    replica: reader.key(),
    requests: reader.count(),
    promptTokens: reader.list(reader.count),
    ejectedFor: reader.count(),
    limit: readOptionalWord(reader),
  })),
  holders: readHolders(reader),
});

const readers = new Map<number, (reader: ByteReader) => OwnerMessage>([
  [forms.work, readWork],
  [forms.ask, readAsk],
  [forms.answer, readAnswer],
]);

/** @returns Nothing if the datagram is no such message. */
export const decodeOwnerMessage = (datagram: Buffer): OwnerMessage | undefined => {
  const reader = createByteReader(datagram);
  try {
    const message = readers.get(reader.byte())?.(reader);
    return reader.isAtEnd() ? message : undefined;
  } catch (error) {
    // Cut off, or not from a router: there is nobody to tell, and the next message is on its way.
    if (error instanceof RangeError) return undefined;
    throw error;
  }
};
