/** Writes answers to callers in OpenAI's format: complete JSON bodies, streamed chunks and errors. */
import { headers } from "../protocol/constants.ts";
import type { RequestError, RequestFailure } from "../protocol/errors.ts";
import { outcomes } from "../protocol/constants.ts";
import type { AnswerFrame, Usage } from "../protocol/types.ts";

/** The fields that identify an answer; each of its chunks repeats them. */
export interface AnswerIdentity {
  readonly kind: "chat" | "text";
  readonly requestId: string;
  readonly model: string;
  /** Seconds since 1970. */
  readonly created: number;
}

const errorTypes: Readonly<Record<number, string>> = {
  400: "invalid_request_error",
  401: "authentication_error",
  403: "permission_error",
  404: "invalid_request_error",
  405: "invalid_request_error",
  413: "invalid_request_error",
};

/** The `type` field of an error: OpenAI's value for the status if there is one, otherwise the outcome. */
const errorType = (failure: RequestFailure): string => errorTypes[failure.status] ?? failure.outcome;

/** @returns An OpenAI error object as JSON, extended by the field `outcome`. */
export const errorBody = ({ failure, message }: RequestError): string =>
  JSON.stringify({
    error: {
      message,
      type: errorType(failure),
      param: failure.parameter ?? null,
      code: failure.code,
      outcome: failure.outcome,
    },
  });

/** @returns The headers of an error answer. */
export const errorHeaders = ({ failure }: RequestError): Record<string, string> => ({
  "content-type": "application/json",
  [headers.outcome]: failure.outcome,
  // Client libraries retry on their own; a request that may have run must not be retried that way.
  ...(failure.outcome === outcomes.notRun ? {} : { [headers.shouldRetry]: "false" }),
  ...(failure.retryAfterSeconds === undefined
    ? {}
    : { [headers.retryAfter]: String(Math.ceil(failure.retryAfterSeconds)) }),
});

const openAiUsage = (usage: Usage) => ({
  prompt_tokens: usage.promptTokens,
  completion_tokens: usage.completionTokens,
  total_tokens: usage.promptTokens + usage.completionTokens,
  prompt_tokens_details: { cached_tokens: usage.cachedTokens },
});

const answerId = ({ kind, requestId }: AnswerIdentity): string =>
  `${kind === "chat" ? "chatcmpl" : "cmpl"}-${requestId}`;

/** Formats the chunks of one streamed answer. */
export interface ChunkWriter {
  /**
   * @param eventId - The SSE id of the frame, with which a caller can resume the answer at any router.
   * @param isFirst - True for the first frame of the whole answer.
   * @returns The frame as an SSE event; an empty string for a usage frame that the caller did not ask for.
   */
  readonly write: (frame: AnswerFrame, eventId: string, isFirst: boolean) => string;
}

/**
 * Creates a writer. The fields that all chunks share are serialised once, since `write` runs for every token.
 *
 * @param includeUsage - True if the caller asked for a usage chunk.
 */
export const createChunkWriter = (identity: AnswerIdentity, includeUsage: boolean): ChunkWriter => {
  const object = identity.kind === "chat" ? "chat.completion.chunk" : "text_completion";
  const { model, created } = identity;
  const sharedFields = JSON.stringify({ id: answerId(identity), object, created, model }).slice(0, -1);

  const choice = (frame: AnswerFrame, isFirst: boolean): string => {
    const finishReason = JSON.stringify(frame.finishReason ?? null);
    const text = JSON.stringify(frame.text);
    if (identity.kind === "text") {
      return `{"index":0,"text":${text},"logprobs":null,"finish_reason":${finishReason}}`;
    }
    const role = isFirst ? `"role":"assistant",` : "";
    const extra = frame.extra === undefined ? "" : `,${JSON.stringify(frame.extra).slice(1, -1)}`;
    const delta =
      frame.finishReason !== undefined && frame.text === "" ? "{}" : `{${role}"content":${text}${extra}}`;
    return `{"index":0,"delta":${delta},"finish_reason":${finishReason}}`;
  };

  const write: ChunkWriter["write"] = (frame, eventId, isFirst) => {
    const id = `id: ${eventId}\n`;
    if (frame.usage !== undefined && frame.text === "" && frame.finishReason === undefined) {
      if (!includeUsage) return "";
      return `${id}data: ${sharedFields},"choices":[],"usage":${JSON.stringify(openAiUsage(frame.usage))}}\n\n`;
    }
    return `${id}data: ${sharedFields},"choices":[${choice(frame, isFirst)}]}\n\n`;
  };
  return { write };
};

/** The last event of a complete stream. */
export const streamEndMarker = "data: [DONE]\n\n";

/** @returns The last event of a stream that can't be completed; `streamEndMarker` never follows it. */
export const streamErrorEvent = (error: RequestError): string =>
  `event: error\ndata: ${errorBody(error)}\n\n`;

/** @returns The JSON body of an answer that is not streamed, assembled from its frames. */
export const completionBody = (identity: AnswerIdentity, frames: readonly AnswerFrame[]): string => {
  const text = frames.map((frame) => frame.text).join("");
  const finishReason = frames.findLast((frame) => frame.finishReason !== undefined)?.finishReason ?? null;
  const usage = frames.findLast((frame) => frame.usage !== undefined)?.usage;
  const toolCallDeltas = frames.flatMap((frame) => readToolCallDeltas(frame));
  const choice =
    identity.kind === "text"
      ? { index: 0, text, logprobs: null, finish_reason: finishReason }
      : {
          index: 0,
          message: {
            role: "assistant",
            content: text,
            refusal: null,
            ...(toolCallDeltas.length === 0 ? {} : { tool_calls: mergeToolCalls(toolCallDeltas) }),
          },
          logprobs: null,
          finish_reason: finishReason,
        };
  return JSON.stringify({
    id: answerId(identity),
    object: identity.kind === "chat" ? "chat.completion" : "text_completion",
    created: identity.created,
    model: identity.model,
    choices: [choice],
    ...(usage === undefined ? {} : { usage: openAiUsage(usage) }),
  });
};

/** A fragment of a tool call, as streams deliver it. */
interface ToolCallDelta {
  readonly index: number;
  readonly id?: string;
  readonly type?: string;
  readonly function?: { readonly name?: string; readonly arguments?: string };
}

const readToolCallDeltas = (frame: AnswerFrame): readonly ToolCallDelta[] => {
  const calls = frame.extra?.tool_calls;
  return Array.isArray(calls) ? (calls as readonly ToolCallDelta[]) : [];
};

const mergeToolCalls = (deltas: readonly ToolCallDelta[]) => {
  const indexes = [...new Set(deltas.map((delta) => delta.index))].sort((left, right) => left - right);
  return indexes.map((index) => {
    const ownDeltas = deltas.filter((delta) => delta.index === index);
    const deltaWithId = ownDeltas.find((delta) => delta.id !== undefined);
    return {
      id: deltaWithId?.id ?? "",
      type: "function",
      function: {
        name: deltaWithId?.function?.name ?? "",
        arguments: ownDeltas.map((delta) => delta.function?.arguments ?? "").join(""),
      },
    };
  });
};
