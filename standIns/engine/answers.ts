/** Formats the engine stand-in's answers as OpenAI's API does, and injects faults into streams. */
import type { ServerResponse } from "node:http";
import { setImmediate as nextEventLoopTick } from "node:timers/promises";
import { headers as headerNames } from "../../src/protocol/constants.ts";
import { cutError } from "../errors.ts";
import { jsonAnswer, type Answer } from "../httpServer.ts";
import { pollUntil } from "../waiting.ts";
import type { Generation } from "./generation.ts";
import type { EngineStandInFaults } from "./types.ts";

/** The engine's faults and lifetime, as an answer uses them. */
export interface AnswerContext {
  readonly faults: EngineStandInFaults;
  readonly closed: AbortSignal;
  readonly crash: () => void;
}

/** Every answer has the same creation time, so that recorded sessions can be compared. */
const created = 1_700_000_000;

const usageOf = (generation: Generation): object => {
  const { promptTokens, completionTokens, cachedTokens } = generation.execution();
  return {
    prompt_tokens: promptTokens,
    completion_tokens: completionTokens,
    total_tokens: promptTokens + completionTokens,
    prompt_tokens_details: { cached_tokens: cachedTokens },
  };
};

const formatEvent = (value: object): string => `data: ${JSON.stringify(value)}\n\n`;

/** Creates the functions that format the chunks of one stream. */
const createChunkFormatter = (generation: Generation, id: string) => {
  const { kind, model } = generation.request;
  const chat = kind === "chat";
  const base = { id, object: chat ? "chat.completion.chunk" : "text_completion", created, model };
  const formatText = (text: string, finishReason: string | null): string => {
    const content = chat ? { delta: { content: text } } : { text };
    return formatEvent({ ...base, choices: [{ index: 0, ...content, finish_reason: finishReason }] });
  };
  const formatEnd = (): string =>
    formatText("", generation.finishReason() ?? null) +
    formatEvent({ ...base, choices: [], usage: usageOf(generation) }) +
    "data: [DONE]\n\n";
  return { formatText, formatEnd };
};

/** Counts the tokens that a stream may still send before one of its faults applies. */
const tokensUntilFault = (faults: EngineStandInFaults, sent: number): number =>
  Math.min(
    ...[faults.closeEarlyAfterTokens, faults.stallAfterTokens, faults.dieAfterTokens].map((limit) =>
      limit === null ? Infinity : Math.max(0, limit - sent),
    ),
  );

/** Applies the faults that are set for the number of tokens that a stream has sent. */
const applyStreamFaults = async (
  { faults, closed, crash }: AnswerContext,
  sent: number,
  response: ServerResponse,
): Promise<void> => {
  const isReached = (limit: number | null): boolean => limit !== null && sent >= limit;
  // Lets earlier writes leave this process before a fault cuts the connection.
  if (tokensUntilFault(faults, sent) === 0) await nextEventLoopTick();
  if (isReached(faults.dieAfterTokens)) {
    faults.dieAfterTokens = null;
    crash();
  }
  if (isReached(faults.closeEarlyAfterTokens)) throw cutError("The stand-in closes this stream early.");
  await pollUntil(() => !isReached(faults.stallAfterTokens) || response.destroyed, closed);
};

/** Bytes that an event lacks inside which an unframed stream ends. */
const missingBytes = 9;

const streamChunks = async function* (
  generation: Generation,
  from: number,
  id: string,
  context: AnswerContext,
  response: ServerResponse,
): AsyncGenerator<string> {
  const { formatText, formatEnd } = createChunkFormatter(generation, id);
  let sent = 0;
  for (;;) {
    const { unframed, closeEarlyAfterTokens } = context.faults;
    if (unframed && closeEarlyAfterTokens !== null && sent >= closeEarlyAfterTokens) {
      yield formatText("half", null).slice(0, -missingBytes);
      return;
    }
    await applyStreamFaults(context, sent, response);
    const start = from + sent;
    const ready = generation.tokens.slice(start, start + tokensUntilFault(context.faults, sent));
    sent += ready.length;
    if (ready.length > 0) yield ready.map((token) => formatText(token, null)).join("");
    else if (generation.ended()) break;
    else await generation.nextChange();
  }
  if (generation.finishReason() === undefined)
    throw cutError("The generation was stopped before the answer was complete.");
  yield formatEnd();
};

const answerHeaders = (generation: Generation, id: string): Readonly<Record<string, string>> => {
  const { incarnation, weightsVersion } = generation.execution();
  return {
    [headerNames.attempt]: id,
    [headerNames.incarnation]: incarnation,
    [headerNames.weightsVersion]: weightsVersion,
  };
};

const consumeFault = (faults: EngineStandInFaults, name: "crossAnswers" | "garbage"): boolean => {
  if (faults[name] === 0) return false;
  faults[name] -= 1;
  return true;
};

const garbageChunks = async function* (): AsyncGenerator<string> {
  yield await Promise.resolve("data: {no such thing as JSON\n\n");
};

/** The id sent with an answer: the attempt's own, or another one while the fault `crossAnswers` is set. */
const answerId = (generation: Generation, faults: EngineStandInFaults): string => {
  const { attempt } = generation.request;
  return consumeFault(faults, "crossAnswers") ? `${attempt}-of-another` : attempt;
};

/**
 * Answers with a stream of server-sent events.
 *
 * @param from - The index of the first token to send.
 */
export const streamAnswer = (
  generation: Generation,
  from: number,
  context: AnswerContext,
  response: ServerResponse,
): Answer => {
  const id = answerId(generation, context.faults);
  const body = consumeFault(context.faults, "garbage")
    ? garbageChunks()
    : streamChunks(generation, from, id, context, response);
  const headers = { "content-type": "text/event-stream", ...answerHeaders(generation, id) };
  if (context.faults.unframed) response.useChunkedEncodingByDefault = false;
  return { status: 200, headers, body };
};

/** Waits until the generation has ended, then answers with a single JSON object. */
export const wholeAnswer = async (generation: Generation, context: AnswerContext): Promise<Answer> => {
  while (!generation.ended()) await generation.nextChange();
  const finishReason = generation.finishReason();
  if (finishReason === undefined)
    throw cutError("The generation was stopped before the answer was complete.");
  const id = answerId(generation, context.faults);
  const headers = answerHeaders(generation, id);
  if (consumeFault(context.faults, "garbage"))
    return { status: 200, headers, body: "{no such thing as JSON" };
  const { kind, model } = generation.request;
  const text = generation.tokens.join("");
  const content = kind === "chat" ? { message: { role: "assistant", content: text } } : { text };
  const object = kind === "chat" ? "chat.completion" : "text_completion";
  const choices = [{ index: 0, ...content, finish_reason: finishReason }];
  return jsonAnswer({ id, object, created, model, choices, usage: usageOf(generation) }, 200, headers);
};
