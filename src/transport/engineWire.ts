/** The wire format of engines: the body of a call, and the chunks of a streamed answer. */
import { z } from "zod";
import { upstreamError } from "../protocol/errors.ts";
import { serializeBody } from "../protocol/serializedBody.ts";
import type { AnswerFrame, EngineCall, Usage } from "../protocol/types.ts";

/** The data of the event that ends a stream. */
export const doneMarker = "[DONE]";

const usageSchema = z.object({
  prompt_tokens: z.number(),
  completion_tokens: z.number(),
  prompt_tokens_details: z.object({ cached_tokens: z.number().optional() }).nullish(),
});

export const loadSchema = z.object({
  incarnation: z.string().min(1),
  model: z.string(),
  weightsVersion: z.string(),
  adapters: z.array(z.string()),
  role: z.string(),
  running: z.number(),
  waiting: z.number(),
  pendingPromptTokens: z.number(),
  cachedTokens: z.number(),
  leaving: z.boolean(),
});

export const cacheEventPageSchema = z.object({
  incarnation: z.string(),
  events: z.array(
    z.object({
      sequence: z.number(),
      kind: z.enum(["stored", "evicted", "cleared"]),
      blocks: z.array(z.string()),
    }),
  ),
  nextSequence: z.number(),
});

/** The fields of a chunk that are read. They are checked by hand, without a schema, since this runs for every token. */
interface Chunk {
  readonly id?: unknown;
  readonly choices?: readonly {
    readonly delta?: Readonly<Record<string, unknown>>;
    readonly text?: unknown;
    readonly finish_reason?: unknown;
  }[];
  readonly usage?: unknown;
}

const promptField = ({ request, delivered }: EngineCall): string => {
  const { prompt } = serializeBody(request);
  if (delivered.text === "") return `"${request.kind === "chat" ? "messages" : "prompt"}":${prompt}`;
  const text = JSON.stringify(delivered.text);
  if (request.kind === "text") return `"prompt":${prompt.slice(0, -1)}${text.slice(1)}`;
  const partialMessage = `{"role":"assistant","content":${text}}`;
  return `"messages":${prompt.slice(0, -1)},${partialMessage}],"continue_final_message":true`;
};

/**
 * @returns The body of a call: the caller's fields, with streaming always on, a cache salt that separates the
 * caches of organisations, and the text that was already delivered, which the engine continues.
 */
export const engineBody = (call: EngineCall): string => {
  const { request, delivered } = call;
  const { otherFields } = serializeBody(request);
  const ownFields = JSON.stringify({
    model: request.model,
    ...(request.adapter === undefined ? {} : { adapter: request.adapter }),
    // Engines reject a limit of 0; a surplus frame is dropped when the answer is relayed.
    max_tokens: Math.max(1, request.maximumTokens - delivered.tokens),
    stream: true,
    stream_options: { include_usage: true },
    cache_salt: call.cacheSalt,
  });
  return `${ownFields.slice(0, -1)},${promptField(call)}${otherFields === "" ? "" : `,${otherFields}`}}`;
};

const readUsage = (usage: unknown): Usage | undefined => {
  if (usage === undefined || usage === null) return undefined;
  const parsed = usageSchema.safeParse(usage).data;
  if (parsed === undefined) return undefined;
  return {
    promptTokens: parsed.prompt_tokens,
    completionTokens: parsed.completion_tokens,
    cachedTokens: parsed.prompt_tokens_details?.cached_tokens ?? 0,
  };
};

/** @returns The fields of a delta besides text and role; almost always `undefined`. */
const extraFields = (delta: Readonly<Record<string, unknown>>): AnswerFrame["extra"] => {
  const others = Object.entries(delta).filter(([key]) => key !== "content" && key !== "role");
  return others.length === 0 ? undefined : Object.fromEntries(others);
};

/**
 * Parses one chunk of a stream.
 *
 * @param attempt - The attempt that the stream belongs to; a chunk of another attempt is a `crossed` failure.
 * @returns The frame; throws `UpstreamError` if the data is not a valid chunk.
 */
export const readChunk = (data: string, attempt: string): AnswerFrame => {
  const chunk = parseChunk(data);
  if (chunk.id !== attempt) {
    throw upstreamError("the stream contains a chunk of another attempt", "crossed", "streaming");
  }
  const choice = chunk.choices?.[0];
  const delta = choice?.delta ?? {};
  const text = choice?.text ?? delta.content ?? "";
  if (typeof text !== "string")
    throw upstreamError("a chunk's text is not a string", "malformed", "streaming");
  return {
    text,
    extra: extraFields(delta),
    finishReason: typeof choice?.finish_reason === "string" ? choice.finish_reason : undefined,
    usage: readUsage(chunk.usage),
  };
};

const parseChunk = (data: string): Chunk => {
  try {
    const value: unknown = JSON.parse(data);
    if (typeof value === "object" && value !== null) return value;
  } catch (cause) {
    throw upstreamError("a chunk is not JSON", "malformed", "streaming", cause);
  }
  throw upstreamError("a chunk is not an object", "malformed", "streaming");
};
