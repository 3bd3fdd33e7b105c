/**
 * Queries to the coordinator of a limit, and its answers. A limit is either the usage limit of an organisation or the
 * rate that a replica reports. Amounts are in the unit of the organisation's limit, or in requests for a replica.
 */
import { createByteReader } from "./byteReader.ts";
import type { ByteReader } from "./byteReader.ts";
import type { ByteWriter } from "./byteWriter.ts";
import { createByteWriter } from "./byteWriter.ts";
import type { ReportedSpan, ReportedLimitMessage } from "./reportedLimitMessage.ts";
import {
  readReportedSpan,
  readReportedLimit,
  writeReportedSpan,
  writeReportedLimit,
} from "./reportedLimitMessage.ts";

/** Asks for a grant to forward a request of an organisation. With an empty organisation it is only a heartbeat. */
export interface UsageLimitQuery {
  readonly kind: "question";
  /** Identifies the query in its answer. */
  readonly number: number;
  readonly organisation: string;
  /** The cost of the request. */
  readonly amount: number;
  /** The amount forwarded without a grant since the last query that was answered, further runs of requests included. */
  readonly spent: number;
  /** The amount that was granted but not used. */
  readonly returned: number;
}

/** Reports the limit in a replica's responses to its coordinator, and may ask for a grant to send it a request. */
export interface ReplicaLimitQuery {
  readonly kind: "replicaQuestion";
  readonly number: number;
  /** The replica's id. */
  readonly replica: string;
  /** The limit that the router received last. */
  readonly reportedLimit: ReportedLimitMessage;
  /** The times of a response without a limit, after earlier ones reported one; `undefined` if there was none. */
  readonly limitRemovedAt: ReportedSpan | undefined;
  /** Whether a grant for a request is asked for. */
  readonly wantsGrant: boolean;
  /** How long the request may wait for its grant, milliseconds. */
  readonly timeout: number;
}

/**
 * The coordinator's decision.
 *
 * - `granted`: the amount is granted and counted.
 * - `refused`: the limit is reached.
 * - `elsewhere`: this router does not coordinate the limit; another one does, or none at the moment.
 * - `unlimited`: the limit no longer exists.
 */
export type LimitVerdict = "granted" | "refused" | "elsewhere" | "unlimited";

export interface LimitAnswer {
  readonly kind: "answer";
  readonly number: number;
  readonly verdict: LimitVerdict;
  /** Milliseconds until the grant is valid; for a refusal, until the limit has room for the amount. */
  readonly wait: number;
  /** The unused part of the limit's burst, percent. */
  readonly remainingPercent: number;
}

export type CoordinatorQuery = UsageLimitQuery | ReplicaLimitQuery;

export type LimitMessage = CoordinatorQuery | LimitAnswer;

/** The first byte of each datagram, which distinguishes it from the other datagrams between routers. */
const messageTypes = { question: 0x41, answer: 0x42, replicaQuestion: 0x43 } as const;

const verdicts: readonly LimitVerdict[] = ["granted", "refused", "elsewhere", "unlimited"];

const writeReplicaLimitQuery = (writer: ByteWriter, query: ReplicaLimitQuery): void => {
  writer.shortText(query.replica);
  writeReportedLimit(writer, query.reportedLimit);
  writer.uint8(query.limitRemovedAt === undefined ? 0 : 1);
  if (query.limitRemovedAt !== undefined) writeReportedSpan(writer, query.limitRemovedAt);
  writer.uint8(query.wantsGrant ? 1 : 0);
  writer.varint(query.timeout);
};

/**
 * Encodes a limit message as a datagram.
 *
 * @param message - Its numbers must be non-negative integers.
 */
export const encodeLimitMessage = (message: LimitMessage): Buffer => {
  const writer = createByteWriter();
  writer.uint8(messageTypes[message.kind]);
  writer.varint(message.number);
  if (message.kind === "question") {
    writer.shortText(message.organisation);
    writer.varint(message.amount);
    writer.varint(message.spent);
    writer.varint(message.returned);
  } else if (message.kind === "replicaQuestion") {
    writeReplicaLimitQuery(writer, message);
  } else {
    writer.uint8(verdicts.indexOf(message.verdict));
    writer.varint(message.wait);
    writer.uint8(message.remainingPercent);
  }
  return writer.finish();
};

/** The fields are evaluated in source order, which must be the order of the bytes. */
const readUsageLimitQuery = (reader: ByteReader): UsageLimitQuery => ({
  kind: "question",
  number: reader.varint(),
  organisation: reader.shortText(),
  amount: reader.varint(),
  spent: reader.varint(),
  returned: reader.varint(),
});

const readReplicaLimitQuery = (reader: ByteReader): ReplicaLimitQuery => ({
  kind: "replicaQuestion",
  number: reader.varint(),
  replica: reader.shortText(),
  reportedLimit: readReportedLimit(reader),
  limitRemovedAt: reader.uint8() === 1 ? readReportedSpan(reader) : undefined,
  wantsGrant: reader.uint8() === 1,
  timeout: reader.varint(),
});

const readVerdict = (reader: ByteReader): LimitVerdict => {
  const verdict = verdicts[reader.uint8()];
  if (verdict === undefined) throw new RangeError("the message contains an unknown verdict");
  return verdict;
};

const readAnswer = (reader: ByteReader): LimitAnswer => ({
  kind: "answer",
  number: reader.varint(),
  verdict: readVerdict(reader),
  wait: reader.varint(),
  remainingPercent: reader.uint8(),
});

const readers = new Map<number, (reader: ByteReader) => LimitMessage>([
  [messageTypes.question, readUsageLimitQuery],
  [messageTypes.replicaQuestion, readReplicaLimitQuery],
  [messageTypes.answer, readAnswer],
]);

/** @returns The decoded message, or `undefined` if the datagram is not a limit message. */
export const decodeLimitMessage = (datagram: Buffer): LimitMessage | undefined => {
  const read = readers.get(datagram[0] ?? 0);
  if (read === undefined) return undefined;
  const reader = createByteReader(datagram);
  try {
    reader.uint8();
    const message = read(reader);
    return reader.isAtEnd() ? message : undefined;
  } catch (error) {
    // Truncated, or not from a router: dropped without a reply, since the next message follows soon.
    if (error instanceof RangeError) return undefined;
    throw error;
  }
};
