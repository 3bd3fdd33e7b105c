/**
 * Finds where the events of a stream end. Lines end with LF, CR LF or CR, and an empty line ends an event; comment lines
 * belong to no event.
 *
 * Source: HTML Living Standard, section 9.2.6, "Interpreting an event stream".
 */

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const colon = 0x3a;

/** A stream may begin with it; it is not part of the first line. */
export const byteOrderMark = Buffer.from([0xef, 0xbb, 0xbf]);

/** Follows a stream chunk by chunk. */
export interface EventScanner {
  /**
   * Reads the next chunk of the stream.
   *
   * @returns The offset in the chunk after the last byte that is followed by no part of an event; 0 if there is none.
   */
  readonly scan: (chunk: Buffer) => number;
  /** @returns The number of bytes after the last event or comment that is complete. */
  readonly unfinishedBytes: () => number;
  /** @returns The number of events that are complete. */
  readonly eventCount: () => number;
}

/** Creates a scanner at the beginning of a stream. */
export const createEventScanner = (): EventScanner => {
  let position = 0;
  let lineLength = 0;
  let isComment = false;
  let isInsideEvent = false;
  let endsWithCarriageReturn = false;
  let eventCount = 0;
  let unfinishedBytes = 0;

  const isByteOrderMark = (byte: number): boolean =>
    position < byteOrderMark.length && byte === byteOrderMark[position];

  const addToLine = (byte: number): void => {
    if (lineLength === 0) isComment = byte === colon;
    lineLength += 1;
  };

  const endLine = (): void => {
    if (lineLength > 0) {
      isInsideEvent ||= !isComment;
      lineLength = 0;
      return;
    }
    if (isInsideEvent) eventCount += 1;
    isInsideEvent = false;
  };

  const scanByte = (byte: number): void => {
    const endsPair = byte === lineFeed && endsWithCarriageReturn;
    endsWithCarriageReturn = byte === carriageReturn;
    if (endsPair) return;
    if (byte === lineFeed || byte === carriageReturn) endLine();
    else if (!isByteOrderMark(byte)) addToLine(byte);
  };

  return {
    scan: (chunk) => {
      let end = 0;
      for (let offset = 0; offset < chunk.length; offset += 1) {
        scanByte(chunk[offset] ?? 0);
        position += 1;
        if (lineLength === 0 && !isInsideEvent) end = offset + 1;
      }
      unfinishedBytes = end > 0 ? chunk.length - end : unfinishedBytes + chunk.length;
      return end;
    },
    unfinishedBytes: () => unfinishedBytes,
    eventCount: () => eventCount,
  };
};
