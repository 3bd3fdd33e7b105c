/** The answers that callers get, in the OpenAI form: whole, streamed, or an error. */
import { headers } from "../protocol/constants.ts";
import type { RequestError, RequestFailure } from "../protocol/errors.ts";
import { outcomes } from "../protocol/constants.ts";
import type { AnswerFrame, Usage } from "../protocol/types.ts";

/** What is the same in every piece of one answer. */
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

/** The stable `type` of an error: OpenAI's where it has one, else the outcome. */
const errorType = (failure: RequestFailure): string => errorTypes[failure.status] ?? failure.outcome;

/** The OpenAI error object, with the outcome beside it. */
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

/** Headers of an error answer. */
export const errorHeaders = ({ failure }: RequestError): Record<string, string> => ({
  "content-type": "application/json",
  [headers.outcome]: failure.outcome,
  // Client libraries repeat requests by themselves; what may have run must not be repeated that way.
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

/** Writes the chunks of one streamed answer. */
export interface ChunkWriter {
  /**
   * @param eventId - The SSE id of the piece, from which a caller can go on elsewhere.
   * @param isFirst - True for the first piece of the whole answer.
   * @returns The piece as SSE text; empty for a piece that callers don't get.
   */
  readonly write: (frame: AnswerFrame, eventId: string, isFirst: boolean) => string;
}

/**
 * Makes a writer. What is the same in all chunks is put into text once, since this runs for every token.
 *
 * @param includeUsage - Whether the caller asked for a usage chunk.
 */
export const createChunkWriter = (identity: AnswerIdentity, includeUsage: boolean): ChunkWriter => {
  const object = identity.kind === "chat" ? "chat.completion.chunk" : "text_completion";
  const { model, created } = identity;
  const head = JSON.stringify({ id: answerId(identity), object, created, model }).slice(0, -1);

  const choice = (frame: AnswerFrame, isFirst: boolean): string => {
    const finish = JSON.stringify(frame.finishReason ?? null);
    const text = JSON.stringify(frame.text);
    if (identity.kind === "text") {
      return `{"index":0,"text":${text},"logprobs":null,"finish_reason":${finish}}`;
    }
    const role = isFirst ? `"role":"assistant",` : "";
    const extra = frame.extra === undefined ? "" : `,${JSON.stringify(frame.extra).slice(1, -1)}`;
    const delta =
      frame.finishReason !== undefined && frame.text === "" ? "{}" : `{${role}"content":${text}${extra}}`;
    return `{"index":0,"delta":${delta},"finish_reason":${finish}}`;
  };

  const write: ChunkWriter["write"] = (frame, eventId, isFirst) => {
    const id = `id: ${eventId}\n`;
    if (frame.usage !== undefined && frame.text === "" && frame.finishReason === undefined) {
      if (!includeUsage) return "";
      return `${id}data: ${head},"choices":[],"usage":${JSON.stringify(openAiUsage(frame.usage))}}\n\n`;
    }
    return `${id}data: ${head},"choices":[${choice(frame, isFirst)}]}\n\n`;
  };
  return { write };
};

/** The end mark of a complete stream. */
export const streamEnd = "data: [DONE]\n\n";

/** The end of a stream that can't be finished; never followed by the end mark. */
export const streamFailure = (error: RequestError): string => `event: error\ndata: ${errorBody(error)}\n\n`;

/** A whole answer, put together from its pieces. */
export const wholeAnswer = (identity: AnswerIdentity, frames: readonly AnswerFrame[]): string => {
  const text = frames.map((frame) => frame.text).join("");
  const finishReason = frames.findLast((frame) => frame.finishReason !== undefined)?.finishReason ?? null;
  const usage = frames.findLast((frame) => frame.usage !== undefined)?.usage;
  const toolCalls = frames.flatMap((frame) => toolCallsOf(frame));
  const choice =
    identity.kind === "text"
      ? { index: 0, text, logprobs: null, finish_reason: finishReason }
      : {
          index: 0,
          message: {
            role: "assistant",
            content: text,
            refusal: null,
            ...(toolCalls.length === 0 ? {} : { tool_calls: joinToolCalls(toolCalls) }),
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

/** A piece of a tool call, as streams split it. */
interface ToolCallPiece {
  readonly index: number;
  readonly id?: string;
  readonly type?: string;
  readonly function?: { readonly name?: string; readonly arguments?: string };
}

const toolCallsOf = (frame: AnswerFrame): readonly ToolCallPiece[] => {
  const calls = frame.extra?.tool_calls;
  return Array.isArray(calls) ? (calls as readonly ToolCallPiece[]) : [];
};

const joinToolCalls = (pieces: readonly ToolCallPiece[]) => {
  const indexes = [...new Set(pieces.map((piece) => piece.index))].sort((left, right) => left - right);
  return indexes.map((index) => {
    const own = pieces.filter((piece) => piece.index === index);
    const named = own.find((piece) => piece.id !== undefined);
    return {
      id: named?.id ?? "",
      type: "function",
      function: {
        name: named?.function?.name ?? "",
        arguments: own.map((piece) => piece.function?.arguments ?? "").join(""),
      },
    };
  });
};
