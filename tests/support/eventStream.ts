/** Reads streamed answers as a caller does. */
import { createParser } from "eventsource-parser";
import type { EventSourceMessage } from "eventsource-parser";

/** The part of a stream that a caller has received. */
export interface ReadStream {
  readonly status: number;
  readonly events: readonly EventSourceMessage[];
}

interface Chunk {
  readonly choices?: readonly {
    readonly delta?: { readonly content?: string };
    readonly text?: string;
    readonly finish_reason: string | null;
  }[];
  readonly usage?: { readonly prompt_tokens: number; readonly completion_tokens: number };
  readonly error?: { readonly code: string; readonly outcome: string };
}

/** The data of the event that ends a complete stream. */
export const endMarker = "[DONE]";

const chunksOf = ({ events }: ReadStream): readonly Chunk[] =>
  events.filter(({ data }) => data !== endMarker).map(({ data }) => JSON.parse(data) as Chunk);

/**
 * Reads a stream until it ends or breaks.
 *
 * @param maxEvents - The number of events after which the connection is closed.
 * @param onEvent - Called after each event with the number of events so far.
 */
export const readStream = async (
  answer: Response,
  maxEvents = Infinity,
  onEvent?: (count: number) => void,
): Promise<ReadStream> => {
  const events: EventSourceMessage[] = [];
  const parser = createParser({
    onEvent: (event) => {
      events.push(event);
      onEvent?.(events.length);
    },
  });
  const decoder = new TextDecoder();
  const reader = answer.body?.getReader();
  while (events.length < maxEvents) {
    // A broken connection ends the stream; the events received so far are returned.
    const next = await reader?.read().catch(() => undefined);
    const bytes = next?.value as Uint8Array | undefined;
    if (bytes === undefined) break;
    parser.feed(decoder.decode(bytes, { stream: true }));
  }
  await reader?.cancel().catch(() => undefined);
  return { status: answer.status, events: events.slice(0, maxEvents) };
};

/** @returns The text of one stream, or of several that continue one another. */
export const textOf = (...streams: readonly ReadStream[]): string =>
  streams
    .flatMap(chunksOf)
    .map(({ choices }) => choices?.[0]?.delta?.content ?? choices?.[0]?.text ?? "")
    .join("");

/** Whether the stream is complete: it has exactly one end marker, as its last event. */
export const isComplete = ({ events }: ReadStream): boolean =>
  events.findIndex(({ data }) => data === endMarker) === events.length - 1 && events.length > 0;

/** @returns The error that a stream ended with, if any. */
export const failureOf = (stream: ReadStream): Chunk["error"] =>
  stream.events.at(-1)?.event === "error" ? chunksOf(stream).at(-1)?.error : undefined;

/** @returns Finish reasons and usage of one stream, or of several that continue one another. */
export const endingOf = (...streams: readonly ReadStream[]) => {
  const chunks = streams.flatMap(chunksOf);
  return {
    finishReasons: chunks.flatMap(({ choices }) => choices?.[0]?.finish_reason ?? []),
    completionTokens: chunks.flatMap(({ usage }) => usage?.completion_tokens ?? []),
  };
};

/** @returns The id of the last event that has one; empty if there is none. */
export const lastEventIdOf = ({ events }: ReadStream): string =>
  events.findLast(({ id }) => id !== undefined)?.id ?? "";

/** Tokens in the answer to {@link streamedRequest}. */
export const streamedTokens = 12;

/** The body of a request whose streamed answer always has the maximum length. */
export const streamedRequest = {
  model: "records-assistant",
  max_tokens: streamedTokens,
  stream: true,
  ignore_eos: true,
  stream_options: { include_usage: true },
  messages: [
    { role: "system", content: "Rule 1: a record is valid for twelve months." },
    { role: "user", content: "Is attendant 17 current?" },
  ],
};
