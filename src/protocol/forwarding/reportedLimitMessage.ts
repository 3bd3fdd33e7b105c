/** What a replica named as its limit, as routers tell one another of it: with ages, since their clocks differ. */
import type { ByteReader } from "./byteReader.ts";
import type { ByteWriter } from "./byteWriter.ts";

/** When an answer was asked for and when it came, milliseconds before the message. */
export interface ReportedSpan {
  readonly askedAge: number;
  readonly receivedAge: number;
}

/** A limit that an answer named. */
export interface ReportedLimitMessage extends ReportedSpan {
  /** Thousandths of a request a second. */
  readonly perThousandSeconds: number;
}

export const writeSpan = (writer: ByteWriter, { askedAge, receivedAge: heardAge }: ReportedSpan): void => {
  writer.count(askedAge);
  writer.count(heardAge);
};

/** Object literals evaluate their fields in the order in which they are written, which is that of the bytes. */
export const readSpan = (reader: ByteReader): ReportedSpan => ({
  askedAge: reader.count(),
  receivedAge: reader.count(),
});

export const writeWord = (writer: ByteWriter, word: ReportedLimitMessage): void => {
  writer.count(word.perThousandSeconds);
  writeSpan(writer, word);
};

/** @returns What {@link writeWord} has written. */
export const readWord = (reader: ByteReader): ReportedLimitMessage => ({
  perThousandSeconds: reader.count(),
  ...readSpan(reader),
});

/** Writes a word that may be missing. */
export const writeOptionalWord = (writer: ByteWriter, word: ReportedLimitMessage | undefined): void => {
  writer.byte(word === undefined ? 0 : 1);
  if (word !== undefined) writeWord(writer, word);
};

/** @returns What {@link writeOptionalWord} has written. */
export const readOptionalWord = (reader: ByteReader): ReportedLimitMessage | undefined =>
  reader.byte() === 1 ? readWord(reader) : undefined;
