/**
 * The fields of a request's body that are forwarded to engines.
 *
 * Engines accept fields that control their queue and their cache (`priority`, `cache_salt`, transfers of cached
 * blocks, …) from any caller. Organisations that share engines may be rivals, so only fields that affect the
 * caller's own answer are forwarded; the configuration can allow further fields for each model.
 */
import { outcomes } from "./constants.ts";
import { requestError } from "./errors.ts";

/** Read by the router, which sends engines its own values instead. */
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

/** Affect only the caller's own answer; forwarded unchanged. */
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

/** Client libraries send these for the provider's accounting; accepted, and not forwarded. */
const unforwardedFields = [
  "user",
  "metadata",
  "store",
  "service_tier",
  "prompt_cache_key",
  "safety_identifier",
] as const;

/** Fields that no configuration can allow: the router handles or drops them, or they affect other organisations. */
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

/** True for a field that is forwarded to engines as the caller sent it. */
export const isForwardedField = (field: string): boolean => !reservedFields.has(field);

/**
 * Checks that a body contains only fields that callers may set.
 *
 * @param additional - Fields that the configuration allows for the model.
 * @throws `RequestError` (400, `unsupported_field`) that names the first field that is not allowed.
 */
export const checkBodyFields = (
  body: Readonly<Record<string, unknown>>,
  additional: readonly string[],
): void => {
  const field = Object.keys(body).find((name) => !knownFields.has(name) && !additional.includes(name));
  if (field === undefined) return;
  throw requestError(`The field ${JSON.stringify(field)} is not supported here.`, {
    status: 400,
    code: "unsupported_field",
    outcome: outcomes.notRun,
    parameter: field,
  });
};
