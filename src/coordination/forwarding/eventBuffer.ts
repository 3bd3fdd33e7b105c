/** Splits a stream of server-sent events at event boundaries, and tracks where another stream can go on after it. */
import { byteOrderMark, createEventScanner } from "./eventScanner.ts";

/** Holds back the incomplete event at the end of a stream. */
export interface EventBuffer {
  /**
   * Appends bytes as they arrive.
   *
   * @returns All complete events that were not returned before; may be empty.
   */
  readonly push: (chunk: Buffer) => Buffer;
  /** @returns The bytes after the last complete event. */
  readonly remainder: () => Buffer;
  /** Discards the bytes after the last complete event; the bytes that follow are those of another stream. */
  readonly beginStream: () => void;
  /** @returns Whether the bytes after the last complete event are those of another one. */
  readonly hasBegunEvent: () => boolean;
  /** @returns The number of complete events that were returned of the current stream. */
  readonly eventCount: () => number;
  /** @returns The id of the last complete event that had one. */
  readonly lastId: () => string | undefined;
  /** @returns Whether the id of each event was higher than the one before. */
  readonly isInOrder: () => boolean;
  /** @returns Whether another stream can go on after the last complete event: `lastId` is its id, and no other's. */
  readonly hasKnownPosition: () => boolean;
}

const anyLineEnd = /\r\n|\r|\n/;
const integer = /^\d+$/;

/** The fields of an event that matter to where it stands in its stream. */
interface EventFields {
  /** `undefined` if it has none; empty if it clears the id of the event before. */
  readonly id: string | undefined;
  readonly hasData: boolean;
}

const noFields: EventFields = { id: undefined, hasData: false };

const addLine = (fields: EventFields, line: string): EventFields => {
  const [name = "", ...rest] = line.split(":");
  const value = rest.join(":").replace(/^ /, "");
  if (name === "id" && !value.includes("\0")) return { ...fields, id: value };
  return name === "data" ? { ...fields, hasData: true } : fields;
};

/** @param lines - Complete events. */
const readEvents = (lines: string): readonly EventFields[] => {
  const events: EventFields[] = [];
  let current = noFields;
  for (const line of lines.split(anyLineEnd)) {
    if (line !== "") {
      current = addLine(current, line);
      continue;
    }
    events.push(current);
    current = noFields;
  }
  return events;
};

/** Ids that are not integers have no order; they only differ. */
const isAfter = (id: string, previous: string): boolean =>
  integer.test(id) && integer.test(previous) ? BigInt(id) > BigInt(previous) : id !== previous;

/**
 * Creates an empty buffer.
 *
 * @param firstPosition - The id of the last event that the caller has received.
 */
export const createEventBuffer = (firstPosition?: string): EventBuffer => {
  let scanner = createEventScanner();
  let rest: Buffer[] = [];
  let returnedEvents = 0;
  let isAtBeginning = true;
  let isFirstStream = true;
  let lastId = firstPosition;
  let isInOrder = true;
  let hasOwnId = true;

  const noteEvent = ({ id, hasData }: EventFields): void => {
    if (id === undefined || id === "") {
      if (hasData) hasOwnId = false;
      return;
    }
    if (lastId !== undefined && !isAfter(id, lastId)) isInOrder = false;
    lastId = id;
    hasOwnId = true;
  };

  const withoutByteOrderMark = (events: Buffer): Buffer =>
    events.subarray(0, byteOrderMark.length).equals(byteOrderMark)
      ? events.subarray(byteOrderMark.length)
      : events;

  /** @returns The bytes of the events as they are passed on. */
  const noteEvents = (events: Buffer): Buffer => {
    const lines = isAtBeginning ? withoutByteOrderMark(events) : events;
    isAtBeginning = false;
    for (const event of readEvents(lines.toString("latin1"))) noteEvent(event);
    // In the middle of an answer, the mark would be part of a field's name.
    return isFirstStream ? events : lines;
  };

  return {
    push: (chunk) => {
      const end = scanner.scan(chunk);
      if (end === 0) {
        rest.push(chunk);
        return Buffer.alloc(0);
      }
      const events = Buffer.concat([...rest, chunk.subarray(0, end)]);
      rest = [chunk.subarray(end)];
      returnedEvents = scanner.eventCount();
      return noteEvents(events);
    },
    remainder: () => Buffer.concat(rest),
    beginStream: () => {
      scanner = createEventScanner();
      rest = [];
      returnedEvents = 0;
      isAtBeginning = true;
      isFirstStream = false;
    },
    hasBegunEvent: () => scanner.hasBegunEvent() || scanner.eventCount() > returnedEvents,
    eventCount: () => returnedEvents,
    lastId: () => lastId,
    isInOrder: () => isInOrder,
    hasKnownPosition: () => isInOrder && hasOwnId,
  };
};
