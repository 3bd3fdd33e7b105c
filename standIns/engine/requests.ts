/** Parses the engine stand-in's completion requests. */
import { randomUUID } from "node:crypto";
import { z } from "zod";
import { headers as headerNames } from "../../src/protocol/constants.ts";
import { parseBody, readHeader, type Exchange } from "../httpServer.ts";
import type { GenerationRequest } from "./generation.ts";
import { renderChat } from "./text.ts";

const defaultMaximumTokens = 512;
const defaultPriority = 5;

const sharedFields = {
  model: z.string(),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().min(0).nullish(),
  max_completion_tokens: z.number().int().min(0).nullish(),
  cache_salt: z.string().default(""),
  ignore_eos: z.boolean().default(false),
};

const contentSchema = z.union([
  z.string(),
  z
    .array(z.object({ type: z.literal("text"), text: z.string() }))
    .transform((parts) => parts.map(({ text }) => text).join("")),
]);

const chatSchema = z.object({
  ...sharedFields,
  messages: z.array(z.object({ role: z.string(), content: contentSchema })).min(1),
  continue_final_message: z.boolean().default(false),
});
const textSchema = z.object({ ...sharedFields, prompt: z.string() });
type SharedBody = z.output<z.ZodObject<typeof sharedFields>>;

/** A parsed request, and whether its answer is streamed. */
export interface ParsedRequest {
  readonly request: GenerationRequest;
  readonly stream: boolean;
}

const buildRequest = (
  { request }: Exchange,
  kind: "chat" | "text",
  body: SharedBody,
  rendered: string,
): ParsedRequest => ({
  stream: body.stream,
  request: {
    attempt: readHeader(request, headerNames.attempt) ?? randomUUID(),
    idempotencyKey: readHeader(request, headerNames.idempotencyKey),
    organisation: readHeader(request, headerNames.organisation),
    priority: Number(readHeader(request, headerNames.priority) ?? defaultPriority),
    kind,
    model: body.model,
    cacheSalt: body.cache_salt,
    rendered,
    maximumTokens: body.max_completion_tokens ?? body.max_tokens ?? defaultMaximumTokens,
    ignoreEnd: body.ignore_eos,
  },
});

/** Parses a request to `/v1/chat/completions`; throws a `RefusalError` if its body is invalid. */
export const readChatRequest = (exchange: Exchange): ParsedRequest => {
  const body = parseBody(chatSchema, exchange.body);
  return buildRequest(exchange, "chat", body, renderChat(body.messages, body.continue_final_message));
};

/** Parses a request to `/v1/completions`; throws a `RefusalError` if its body is invalid. */
export const readTextRequest = (exchange: Exchange): ParsedRequest => {
  const body = parseBody(textSchema, exchange.body);
  return buildRequest(exchange, "text", body, body.prompt);
};
