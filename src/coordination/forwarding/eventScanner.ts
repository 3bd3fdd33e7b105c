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
   * @returns The offset in the chunk after the last byte before which the stream can be divided: all events and lines
   * before it are complete; 0 if there is none.
   */
  readonly scan: (chunk: Buffer) => number;
  /** @returns The number of bytes after the last event or comment that is complete; 0 if all are. */
  readonly unfinishedBytes: () => number;
  /** @returns Whether a part of an event has been read, not only of a comment. */
  readonly hasBegunEvent: () => boolean;
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
  /** Whether the last line end that is known to be complete was CR LF. */
  let usesPairs = false;
  let eventCount = 0;
  let heldBytes = 0;

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
    if (byte === lineFeed || endsWithCarriageReturn) usesPairs = endsPair;
    endsWithCarriageReturn = byte === carriageReturn;
    if (endsPair) return;
    if (byte === lineFeed || byte === carriageReturn) endLine();
    else if (!isByteOrderMark(byte)) addToLine(byte);
  };

  const isBetweenEvents = (): boolean => lineLength === 0 && !isInsideEvent;

  /** The line feed that completes a pair arrives next, unless the stream mixes its line ends. */
  const awaitsLineFeed = (): boolean => endsWithCarriageReturn && usesPairs;

  return {
    scan: (chunk) => {
      let end = 0;
      for (let offset = 0; offset < chunk.length; offset += 1) {
        scanByte(chunk[offset] ?? 0);
        position += 1;
        if (isBetweenEvents() && !awaitsLineFeed()) end = offset + 1;
      }
      heldBytes = end > 0 ? chunk.length - end : heldBytes + chunk.length;
      return end;
    },
    unfinishedBytes: () => (isBetweenEvents() ? 0 : heldBytes),
    hasBegunEvent: () => isInsideEvent || (lineLength > 0 && !isComment),
    eventCount: () => eventCount,
  };
};
