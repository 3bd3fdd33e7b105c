/** A limit reported by a replica, as routers send it to one another: with ages, since their clocks differ. */
import type { ByteReader } from "./byteReader.ts";
import type { ByteWriter } from "./byteWriter.ts";

/** When a response was requested and when it arrived, milliseconds before the message was sent. */
export interface ReportedSpan {
  readonly askedAge: number;
  readonly receivedAge: number;
}

/** A limit reported in a response of a replica. */
export interface ReportedLimitMessage extends ReportedSpan {
  /** Requests per 1,000 seconds. */
  readonly perThousandSeconds: number;
}

export const writeReportedSpan = (writer: ByteWriter, { askedAge, receivedAge }: ReportedSpan): void => {
  writer.varint(askedAge);
  writer.varint(receivedAge);
};

/** The fields are evaluated in source order, which must be the order of the bytes. */
export const readReportedSpan = (reader: ByteReader): ReportedSpan => ({
  askedAge: reader.varint(),
  receivedAge: reader.varint(),
});

export const writeReportedLimit = (writer: ByteWriter, limit: ReportedLimitMessage): void => {
  writer.varint(limit.perThousandSeconds);
  writeReportedSpan(writer, limit);
};

/** Decodes what {@link writeReportedLimit} encodes. */
export const readReportedLimit = (reader: ByteReader): ReportedLimitMessage => ({
  perThousandSeconds: reader.varint(),
  ...readReportedSpan(reader),
});

/** Encodes a limit that may be absent. */
export const writeOptionalReportedLimit = (
  writer: ByteWriter,
  limit: ReportedLimitMessage | undefined,
): void => {
  writer.uint8(limit === undefined ? 0 : 1);
  if (limit !== undefined) writeReportedLimit(writer, limit);
};

/** Decodes what {@link writeOptionalReportedLimit} encodes. */
export const readOptionalReportedLimit = (reader: ByteReader): ReportedLimitMessage | undefined =>
  reader.uint8() === 1 ? readReportedLimit(reader) : undefined;
