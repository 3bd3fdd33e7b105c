/**
 * Which fields of a request's body reach an engine.
 *
 * Engines take fields that steer their queue and their cache (`priority`, `cache_salt`, transfers of cached
 * blocks, …) from anybody who names them. Organisations that share engines are rivals, so only fields that
 * concern the caller's own answer are handed on; the configuration can allow more of them for a model.
 */
import { outcomes } from "./constants.ts";
import { requestError } from "./errors.ts";

/** Read by the router, which writes its own in their place. */
const routerFields = [
  "model",
  "messages",
  "prompt",
  "stream",
  "stream_options",
  "max_tokens",
  "max_completion_tokens",
  "n",
  "pomelocleat_delivered",
] as const;

/** Concern the caller's own answer; handed on as they are. */
const answerFields = [
  "temperature",
  "top_p",
  "stop",
  "seed",
  "presence_penalty",
  "frequency_penalty",
  "logit_bias",
  "tools",
  "tool_choice",
  "parallel_tool_calls",
  "response_format",
  "reasoning_effort",
] as const;

/** Client libraries send these for the provider's books; taken, and not handed on. */
const unforwardedFields = [
  "user",
  "metadata",
  "store",
  "service_tier",
  "prompt_cache_key",
  "safety_identifier",
] as const;

/** Would let an organisation reach past its own answer; no configuration can allow them. */
export const reservedFields: ReadonlySet<string> = new Set([
  ...routerFields,
  ...unforwardedFields,
  "adapter",
  "cache_salt",
  "priority",
  "continue_final_message",
  "add_generation_prompt",
  "kv_transfer_params",
  "request_id",
]);

const knownFields: ReadonlySet<string> = new Set([...routerFields, ...answerFields, ...unforwardedFields]);

/** True for a field that is handed on to engines as the caller sent it. */
export const isForwarded = (field: string): boolean => !reservedFields.has(field);

/**
 * Checks that a body has only fields that callers may set.
 *
 * @param further - Fields that the configuration allows for the model.
 * @returns Nothing; throws `RequestError` (400, `unsupported_field`) naming the first other field.
 */
export const checkBodyFields = (
  body: Readonly<Record<string, unknown>>,
  further: readonly string[],
): void => {
  const field = Object.keys(body).find((name) => !knownFields.has(name) && !further.includes(name));
  if (field === undefined) return;
  throw requestError(`The field ${JSON.stringify(field)} is not supported here.`, {
    status: 400,
    code: "unsupported_field",
    outcome: outcomes.notRun,
    parameter: field,
  });
};
