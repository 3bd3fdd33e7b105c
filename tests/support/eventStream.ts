/** Reads streamed answers as their callers do. */
import { createParser } from "eventsource-parser";
import type { EventSourceMessage } from "eventsource-parser";

/** What a caller has read of a stream. */
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

/** The end mark of a whole stream. */
export const endMarker = "[DONE]";

const chunksOf = ({ events }: ReadStream): readonly Chunk[] =>
  events.filter(({ data }) => data !== endMarker).map(({ data }) => JSON.parse(data) as Chunk);

/**
 * Reads a stream.
 *
 * @param most - Stops after so many events, and drops the connection.
 * @param onEvent - Told after each event how many there are.
 */
export const readStream = async (
  answer: Response,
  most = Infinity,
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
  while (events.length < most) {
    // A connection that breaks ends what the caller has.
    const next = await reader?.read().catch(() => undefined);
    const bytes = next?.value as Uint8Array | undefined;
    if (bytes === undefined) break;
    parser.feed(decoder.decode(bytes, { stream: true }));
  }
  await reader?.cancel().catch(() => undefined);
  return { status: answer.status, events: events.slice(0, most) };
};

/** The text of one stream, or of several read one after another. */
export const textOf = (...streams: readonly ReadStream[]): string =>
  streams
    .flatMap(chunksOf)
    .map(({ choices }) => choices?.[0]?.delta?.content ?? choices?.[0]?.text ?? "")
    .join("");

/** True if the stream ended as whole, with its end mark last and once. */
export const isComplete = ({ events }: ReadStream): boolean =>
  events.findIndex(({ data }) => data === endMarker) === events.length - 1 && events.length > 0;

/** The failure that a stream ended with. */
export const failureOf = (stream: ReadStream): Chunk["error"] =>
  stream.events.at(-1)?.event === "error" ? chunksOf(stream).at(-1)?.error : undefined;

/** Finish reason and usage of one stream, or of several read one after another. */
export const endingOf = (...streams: readonly ReadStream[]) => {
  const chunks = streams.flatMap(chunksOf);
  return {
    finishReasons: chunks.flatMap(({ choices }) => choices?.[0]?.finish_reason ?? []),
    completionTokens: chunks.flatMap(({ usage }) => usage?.completion_tokens ?? []),
  };
};

/** The id of the last event that has one. */
export const lastEventIdOf = ({ events }: ReadStream): string =>
  events.findLast(({ id }) => id !== undefined)?.id ?? "";

/** Tokens that {@link streamedRequest} asks for. */
export const streamedTokens = 12;

/** A question whose streamed answer is always as long as it may be. */
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
