/**
 * What a router asks the one that keeps the count of an organisation's use, and its answer. Amounts are in the unit of
 * the organisation's limit.
 */
import { createByteReader } from "./byteReader.ts";
import type { ByteReader } from "./byteReader.ts";
import { createByteWriter } from "./byteWriter.ts";

/** A router wants to pass on a request; without an organisation it only asks for a sign of life. */
export interface LimitQuestion {
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

/**
 * - `granted`: the amount is counted.
 * - `refused`: the limit is reached.
 * - `elsewhere`: another router keeps the count, or none does at this moment.
 */
export type LimitVerdict = "granted" | "refused" | "elsewhere";

/** The answer. */
export interface LimitAnswer {
  readonly kind: "answer";
  readonly number: number;
  readonly verdict: LimitVerdict;
  /** Where it was refused: milliseconds until there is room for the amount. */
  readonly wait: number;
  /** How much of what may be used at once is left, in hundredths. */
  readonly room: number;
}

export type LimitMessage = LimitQuestion | LimitAnswer;

/** The first byte; other datagrams between routers begin with other ones. */
const forms = { question: 0x41, answer: 0x42 } as const;

const verdicts: readonly LimitVerdict[] = ["granted", "refused", "elsewhere"];

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
  } else {
    writer.byte(verdicts.indexOf(message.verdict));
    writer.count(message.wait);
    writer.byte(message.room);
  }
  return writer.finish();
};

/** Object literals evaluate their fields in the order in which they are written, which is that of the bytes. */
const readQuestion = (reader: ByteReader): LimitQuestion => ({
  kind: "question",
  number: reader.count(),
  organisation: reader.text(),
  amount: reader.count(),
  spent: reader.count(),
  returned: reader.count(),
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
  room: reader.byte(),
});

/** @returns Nothing if the datagram is no such message. */
export const decodeLimitMessage = (datagram: Buffer): LimitMessage | undefined => {
  const form = datagram[0];
  if (form !== forms.question && form !== forms.answer) return undefined;
  const reader = createByteReader(datagram);
  try {
    reader.byte();
    const message = form === forms.question ? readQuestion(reader) : readAnswer(reader);
    return reader.isAtEnd() ? message : undefined;
  } catch (error) {
    // Cut off, or not from a router: there is nobody to tell, and the next message is on its way.
    if (error instanceof RangeError) return undefined;
    throw error;
  }
};
