/** Parses a caller's model request (in the format of the OpenAI API) into a {@link CompletionRequest}. */
import { z } from "zod";
import { outcomes } from "./constants.ts";
import { requestError } from "./errors.ts";
import type { RequestError } from "./errors.ts";
import type { CompletionRequest } from "./types.ts";

/** Token limit of an answer if the caller sets none. */
const defaultMaximumTokens = 1024;

/** A text prompt without marked offsets gets a prefix level after each of its first paragraphs, up to this many. */
const maximumParagraphLevels = 8;

const cacheControl = z.looseObject({ type: z.literal("ephemeral") });

const contentPart = z.looseObject({
  type: z.string(),
  text: z.string().optional(),
  cache_control: cacheControl.optional(),
});

const message = z.looseObject({
  role: z.string().min(1),
  content: z.union([z.string(), z.array(contentPart), z.null()]).optional(),
  cache_control: cacheControl.optional(),
});

const tokenLimit = z.number().int().min(1).max(1_000_000);

const common = {
  model: z.string().min(1),
  stream: z.boolean().nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean().optional() }).nullish(),
  max_tokens: tokenLimit.nullish(),
  max_completion_tokens: tokenLimit.nullish(),
  n: z.literal(1, "only one choice for each request is supported").nullish(),
};

const chatBody = z.looseObject({ ...common, messages: z.array(message).min(1) });
const textBody = z.looseObject({ ...common, prompt: z.string() });

type Message = z.output<typeof message>;

const malformed = (message: string, parameter: string | undefined): RequestError =>
  requestError(message, {
    status: 400,
    code: "invalid_body",
    outcome: outcomes.notRun,
    ...(parameter === undefined ? {} : { parameter }),
  });

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch (cause) {
    throw malformed(`The body is not JSON: ${(cause as SyntaxError).message}`, undefined);
  }
};

const check = <T>(schema: z.ZodType<T>, body: unknown): T => {
  const result = schema.safeParse(body);
  if (result.success) return result.data;
  const [issue] = result.error.issues;
  const path = issue?.path.join(".") ?? "";
  throw malformed(
    path === "" ? "The body must be a JSON object." : `${path}: ${issue?.message ?? "invalid"}`,
    path,
  );
};

const messageText = ({ content }: Message): string => {
  if (typeof content === "string") return content;
  return (content ?? []).map((part) => part.text ?? "").join("");
};

const hasCacheControl = ({ content, cache_control }: Message): boolean =>
  cache_control !== undefined ||
  (Array.isArray(content) && content.some((part) => part.cache_control !== undefined));

/** Splits messages after each one that has `cache_control`, or after every message if none has. */
const chatSegments = (messages: readonly Message[]): readonly string[] => {
  const hasMarks = messages.some(hasCacheControl);
  const segments: string[] = [];
  let pending = "";
  for (const item of messages) {
    pending += `<|${item.role}|>${messageText(item)}\n`;
    if (hasMarks && !hasCacheControl(item)) continue;
    segments.push(pending);
    pending = "";
  }
  if (pending !== "") segments.push(pending);
  return segments;
};

/** Splits a text prompt at the marked offsets, or after each of its first paragraphs if there are none. */
const textSegments = (prompt: string, markedOffsets: readonly number[]): readonly string[] => {
  if (markedOffsets.length === 0) {
    const paragraphs = prompt.split(/(?<=\n\n)/);
    const rest = paragraphs.slice(maximumParagraphLevels).join("");
    return [...paragraphs.slice(0, maximumParagraphLevels), ...(rest === "" ? [] : [rest])];
  }
  const bounds = [...new Set([0, ...markedOffsets, prompt.length])]
    .filter((offset) => offset <= prompt.length)
    .sort((left, right) => left - right);
  return bounds.slice(1).map((end, index) => prompt.slice(bounds[index], end));
};

/** Splits off the adapter, which follows the model after a colon: `records-assistant:first-aid`. */
const splitModel = (modelField: string): { readonly model: string; readonly adapter: string | undefined } => {
  const [model = "", adapter] = modelField.split(":", 2);
  return { model, adapter };
};

/**
 * Parses a request body.
 *
 * @param kind - The endpoint that it was sent to.
 * @param text - The body as received.
 * @param markedOffsets - Character offsets at which prefix levels of a text prompt end; empty if the caller marks none.
 * @returns The request.
 * @throws `RequestError` (400, `invalid_body`) that names the invalid field.
 */
export const parseCompletionRequest = (
  kind: CompletionRequest["kind"],
  text: string,
  markedOffsets: readonly number[],
): CompletionRequest => {
  const json = parseJson(text);
  const body = kind === "chat" ? check(chatBody, json) : check(textBody, json);
  const segments =
    "messages" in body && kind === "chat"
      ? chatSegments(body.messages as readonly Message[])
      : textSegments(body.prompt as string, markedOffsets);
  return {
    kind,
    ...splitModel(body.model),
    stream: body.stream ?? false,
    includeUsage: body.stream_options?.include_usage ?? false,
    maximumTokens: body.max_completion_tokens ?? body.max_tokens ?? defaultMaximumTokens,
    body,
    segments,
  };
};
