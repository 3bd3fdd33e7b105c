/** Cuts a stream of events where one ends, and remembers the id of the last whole one. */

const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/** See {@link createEventBuffer}. */
export interface EventBuffer {
  /** Takes bytes as they come. @returns The whole events among all that has not been returned; may be empty. */
  readonly push: (chunk: Buffer) => Buffer;
  /** @returns What follows the last whole event. */
  readonly remainder: () => Buffer;
  /** Drops what follows the last whole event. */
  readonly dropRemainder: () => void;
  /** The id of the last whole event that had one. */
  readonly lastId: () => string | undefined;
}

/** @returns The position after the last empty line; 0 if there is none. */
const endOfEvents = (bytes: Buffer): number => {
  for (let at = bytes.length - 1; at > 0; at -= 1) {
    if (bytes[at] !== lineFeed) continue;
    const before = bytes[at - 1] === carriageReturn ? at - 2 : at - 1;
    if (bytes[before] === lineFeed) return at + 1;
  }
  return 0;
};

const idLine = /^id:[ ]?(.*)$/gm;

/** Creates an empty buffer. @param lastId - The id of the last event that the caller has. */
export const createEventBuffer = (lastId?: string): EventBuffer => {
  let last = lastId;
  let rest: Buffer = Buffer.alloc(0);

  const noteIds = (events: Buffer): void => {
    for (const [, id] of events.toString("latin1").matchAll(idLine)) last = id?.trimEnd();
  };

  return {
    push: (chunk) => {
      const bytes = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
      const end = endOfEvents(bytes);
      const events = bytes.subarray(0, end);
      rest = bytes.subarray(end);
      noteIds(events);
      return events;
    },
    remainder: () => rest,
    dropRemainder: () => {
      rest = Buffer.alloc(0);
    },
    lastId: () => last,
  };
};
