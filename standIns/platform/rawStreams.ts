/** Streams that are written to the socket as raw HTTP/1.1, framed and ended in any way. */
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** What a stream has of its last event when it stops: after all events, or after two and the given part of the third. */
const fragments = {
  afterLastEvent: () => "",
  betweenEvents: () => "",
  insideData: (event: string) => event.slice(0, event.indexOf("data: ") + "data: re".length),
  insideField: (event: string) => event.slice(0, 1),
  beforeEmptyLine: (event: string) => event.slice(0, -1),
  /** Nothing but the head. */
  afterHead: () => "",
} as const satisfies Readonly<Record<string, (event: string) => string>>;

/** The places at which a stream can stop. */
export type StreamStop = keyof typeof fragments;

/** Number of whole events before a stream stops inside an event or between two. */
const wholeEvents = 2;

/** An event to be written. */
export interface RawEvent {
  readonly id: number;
  readonly data: string;
}

/** How a stream is written. */
export interface RawStream {
  readonly status: 200 | 204;
  readonly contentType: string;
  /** What marks its end. */
  readonly framing: "length" | "chunks" | "connection";
  readonly stop: StreamStop;
  /** How its connection ends if it stops early or has no other mark of its end. */
  readonly closing: "ordinary" | "reset";
  readonly lineEnd: "\n" | "\r\n" | "\r";
  readonly formatEvent: (event: RawEvent) => string;
  /** The text before the first event and after the last one. */
  readonly prefix: string;
  readonly suffix: string;
  /** Whether head and body are sent in one write, event by event, or byte by byte. */
  readonly writing: "once" | "events" | "bytes";
}

/** @param fields - Replace fields of a whole stream that ends with its connection. */
export const createRawStream = (fields: Partial<RawStream> = {}): RawStream => ({
  status: 200,
  contentType: "text/event-stream",
  framing: "connection",
  stop: "afterLastEvent",
  closing: "ordinary",
  lineEnd: "\n",
  formatEvent: ({ id, data }) => `id: ${id}\ndata: ${data}\n\n`,
  prefix: "",
  suffix: "",
  writing: "events",
  ...fields,
});

/** Streams that stop early without a mark of their end, by the name of their behaviour. */
export const brokenStreams = {
  unframedInsideData: createRawStream({ stop: "insideData" }),
  unframedInsideField: createRawStream({ stop: "insideField" }),
  unframedBeforeEmptyLine: createRawStream({ stop: "beforeEmptyLine" }),
  unframedBytes: createRawStream({ stop: "insideData", writing: "bytes" }),
  unframedInOneWrite: createRawStream({ stop: "insideData", writing: "once" }),
  unframedAfterHead: createRawStream({ stop: "afterHead" }),
  unframedReset: createRawStream({ stop: "insideData", closing: "reset" }),
} as const satisfies Readonly<Record<string, RawStream>>;

/** The events that a request is due. */
export interface DueEvents {
  readonly first: number;
  readonly last: number;
  readonly dataOf: (id: number) => string;
}

/** @returns The parts of the body, in order. */
const partsOf = (stream: RawStream, { first, last, dataOf }: DueEvents): string[] => {
  if (stream.stop === "afterHead") return [];
  const format = (id: number): string => stream.formatEvent({ id, data: dataOf(id) });
  const isWhole = stream.stop === "afterLastEvent";
  const end = isWhole ? last : Math.min(last, first + wholeEvents - 1);
  const events = Array.from({ length: Math.max(0, end - first + 1) }, (_, index) => format(first + index));
  const ending = isWhole ? stream.suffix : fragments[stream.stop](format(end + 1));
  const parts = [stream.prefix, ...events, ending];
  return parts.filter((part) => part !== "").map((part) => part.replaceAll("\n", stream.lineEnd));
};

const chunkOf = (part: string): string => `${Buffer.byteLength(part).toString(16)}\r\n${part}\r\n`;

/**
 * Writes an answer and ends its connection.
 *
 * @param headers - Its header lines, without those of its type and framing.
 * @param pause - Between two writes and before the connection ends, milliseconds.
 */
export const writeRawStream = async (
  socket: Socket,
  headers: readonly string[],
  stream: RawStream,
  due: DueEvents,
  pause: number,
): Promise<void> => {
  const parts = partsOf(stream, due);
  const framingLines = {
    length: [`content-length: ${Buffer.byteLength(parts.join(""))}`],
    chunks: ["transfer-encoding: chunked"],
    connection: [],
  }[stream.framing];
  const type = stream.status === 204 ? [] : [`content-type: ${stream.contentType}`];
  const lines = [...headers, ...type, ...framingLines, "connection: close", "", ""];
  const head = [`HTTP/1.1 ${stream.status} OK`, ...lines].join("\r\n");
  const body = stream.framing === "chunks" ? [...parts.map(chunkOf), "0\r\n\r\n"] : parts;
  const writes = {
    once: () => [head + body.join("")],
    events: () => [head, ...body],
    bytes: () => [head, ...Array.from(body.join(""))],
  }[stream.writing]();
  for (const text of writes) {
    if (socket.destroyed) return;
    socket.write(text);
    await sleep(stream.writing === "bytes" ? 0 : pause);
  }
  if (stream.closing === "reset") socket.resetAndDestroy();
  else socket.end();
};
