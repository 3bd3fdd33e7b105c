/**
 * What a router asks the one that keeps a limit for all, and its answer: the limit of an organisation's use, or what a
 * replica takes. Amounts are in the unit of the organisation's limit, or requests.
 */
import { createByteReader } from "./byteReader.ts";
import type { ByteReader } from "./byteReader.ts";
import type { ByteWriter } from "./byteWriter.ts";
import { createByteWriter } from "./byteWriter.ts";
import type { ReportedSpan, ReportedLimitMessage } from "./reportedLimitMessage.ts";
import { readSpan, readWord, writeSpan, writeWord } from "./reportedLimitMessage.ts";

/** A router wants to pass on a request; without an organisation it only asks for a sign of life. */
export interface UsageLimitQuery {
  readonly kind: "question";
  readonly number: number;
  readonly organisation: string;
  /** What the request counts. */
  readonly amount: number;
  /** What was passed on without having been granted since the last question. */
  readonly spent: number;
  /** What was granted and has not run. */
  readonly returned: number;
}

/** A router tells what a replica's answers named, and may want to send it a request. */
export interface ReplicaLimitQuery {
  readonly kind: "replicaQuestion";
  readonly number: number;
  /** The replica's id. */
  readonly replica: string;
  /** The limit that the router heard last. */
  readonly reportedLimit: ReportedLimitMessage;
  /** When an answer was asked for and came that names no limit any more; nothing if there is none to tell of. */
  readonly unnamed: ReportedSpan | undefined;
  /** Whether a request is to be sent. */
  readonly isAsked: boolean;
  /** How long the request may wait for its turn, milliseconds. */
  readonly patience: number;
}

/**
 * - `granted`: the amount is counted.
 * - `refused`: the limit is reached.
 * - `elsewhere`: another router keeps the limit, or none does at this moment.
 * - `unlimited`: there is no limit any more.
 */
export type LimitVerdict = "granted" | "refused" | "elsewhere" | "unlimited";

/** The answer. */
export interface LimitAnswer {
  readonly kind: "answer";
  readonly number: number;
  readonly verdict: LimitVerdict;
  /** Where it was refused: milliseconds until there is room for the amount; where granted, until its turn. */
  readonly wait: number;
  /** How much of what may be used at once is left, in hundredths. */
  readonly remainingPercent: number;
}

/** What a keeper is asked. */
export type CoordinatorQuery = UsageLimitQuery | ReplicaLimitQuery;

export type LimitMessage = CoordinatorQuery | LimitAnswer;

/** The first byte; other datagrams between routers begin with other ones. */
const forms = { question: 0x41, answer: 0x42, replicaQuestion: 0x43 } as const;

const verdicts: readonly LimitVerdict[] = ["granted", "refused", "elsewhere", "unlimited"];

const writeReplicaQuestion = (writer: ByteWriter, question: ReplicaLimitQuery): void => {
  writer.text(question.replica);
  writeWord(writer, question.reportedLimit);
  writer.byte(question.unnamed === undefined ? 0 : 1);
  if (question.unnamed !== undefined) writeSpan(writer, question.unnamed);
  writer.byte(question.isAsked ? 1 : 0);
  writer.count(question.patience);
};

/** @returns The datagram. Counts must be whole numbers of 0 or more. */
export const encodeLimitMessage = (message: LimitMessage): Buffer => {
  const writer = createByteWriter();
  writer.byte(forms[message.kind]);
  writer.count(message.number);
  if (message.kind === "question") {
    writer.text(message.organisation);
    writer.count(message.amount);
    writer.count(message.spent);
    writer.count(message.returned);
  } else if (message.kind === "replicaQuestion") {
    writeReplicaQuestion(writer, message);
  } else {
    writer.byte(verdicts.indexOf(message.verdict));
    writer.count(message.wait);
    writer.byte(message.remainingPercent);
  }
  return writer.finish();
};

/** Object literals evaluate their fields in the order in which they are written, which is that of the bytes. */
const readQuestion = (reader: ByteReader): UsageLimitQuery => ({
  kind: "question",
  number: reader.count(),
  organisation: reader.text(),
  amount: reader.count(),
  spent: reader.count(),
  returned: reader.count(),
});

const readReplicaQuestion = (reader: ByteReader): ReplicaLimitQuery => ({
  kind: "replicaQuestion",
  number: reader.count(),
  replica: reader.text(),
  reportedLimit: readWord(reader),
  unnamed: reader.byte() === 1 ? readSpan(reader) : undefined,
  isAsked: reader.byte() === 1,
  patience: reader.count(),
});

const readVerdict = (reader: ByteReader): LimitVerdict => {
  const verdict = verdicts[reader.byte()];
  if (verdict === undefined) throw new RangeError("the message has an unknown verdict");
  return verdict;
};

const readAnswer = (reader: ByteReader): LimitAnswer => ({
  kind: "answer",
  number: reader.count(),
  verdict: readVerdict(reader),
  wait: reader.count(),
  remainingPercent: reader.byte(),
});

const readers = new Map<number, (reader: ByteReader) => LimitMessage>([
  [forms.question, readQuestion],
  [forms.replicaQuestion, readReplicaQuestion],
  [forms.answer, readAnswer],
]);

/** @returns Nothing if the datagram is no such message. */
export const decodeLimitMessage = (datagram: Buffer): LimitMessage | undefined => {
  const read = readers.get(datagram[0] ?? 0);
  if (read === undefined) return undefined;
  const reader = createByteReader(datagram);
  try {
    reader.byte();
    const message = read(reader);
    return reader.isAtEnd() ? message : undefined;
  } catch (error) {
    // Cut off, or not from a router: there is nobody to tell, and the next message is on its way.
    if (error instanceof RangeError) return undefined;
    throw error;
  }
};
