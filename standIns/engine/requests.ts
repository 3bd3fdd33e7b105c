/** Reads the engine stand-in's completion requests. */
import { randomUUID } from "node:crypto";
import { z } from "zod";
import { headers as headerNames } from "../../src/protocol/constants.ts";
import { parseBody, readHeader, type Exchange } from "../httpServer.ts";
import type { GenerationRequest } from "./generation.ts";
import { renderChat } from "./text.ts";

const defaultMaximumTokens = 512;
const defaultPriority = 5;

const shared = {
  model: z.string(),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().min(0).nullish(),
  cache_salt: z.string().default(""),
  ignore_eos: z.boolean().default(false),
};

const contentSchema = z.union([
  z.string(),
  z
    .array(z.object({ type: z.literal("text"), text: z.string() }))
    .transform((parts) => parts.map(({ text }) => text).join("")),
  z.null().transform(() => ""),
]);

const chatSchema = z.object({
  ...shared,
  messages: z.array(z.object({ role: z.string(), content: contentSchema })).min(1),
  max_completion_tokens: z.number().int().min(0).nullish(),
  continue_final_message: z.boolean().default(false),
});

const textSchema = z.object({ ...shared, prompt: z.string() });

/** A request and whether its answer is streamed. */
export interface ParsedRequest {
  readonly request: GenerationRequest;
  readonly stream: boolean;
}

const readHeaders = ({ request }: Exchange): Omit<GenerationRequest, keyof BodyFields> => ({
  attempt: readHeader(request, headerNames.attempt) ?? randomUUID(),
  idempotencyKey: readHeader(request, headerNames.idempotencyKey),
  organisation: readHeader(request, headerNames.organisation),
  priority: Number(readHeader(request, headerNames.priority) ?? defaultPriority),
});

type BodyFields = Pick<
  GenerationRequest,
  "kind" | "model" | "cacheSalt" | "rendered" | "maximumTokens" | "ignoreEnd"
>;

/** Reads a call of `/v1/chat/completions`. */
export const readChatRequest = (exchange: Exchange): ParsedRequest => {
  const body = parseBody(chatSchema, exchange.body);
  const request = {
    ...readHeaders(exchange),
    kind: "chat" as const,
    model: body.model,
    cacheSalt: body.cache_salt,
    rendered: renderChat(body.messages, body.continue_final_message),
    maximumTokens: body.max_completion_tokens ?? body.max_tokens ?? defaultMaximumTokens,
    ignoreEnd: body.ignore_eos,
  };
  return { request, stream: body.stream };
};

/** Reads a call of `/v1/completions`. */
export const readTextRequest = (exchange: Exchange): ParsedRequest => {
  const body = parseBody(textSchema, exchange.body);
  const request = {
    ...readHeaders(exchange),
    kind: "text" as const,
    model: body.model,
    cacheSalt: body.cache_salt,
    rendered: body.prompt,
    maximumTokens: body.max_tokens ?? defaultMaximumTokens,
    ignoreEnd: body.ignore_eos,
  };
  return { request, stream: body.stream };
};
