/**
 * A request's body as JSON text, serialized once for each request. Attempts add their own fields to it and digests are
 * computed from it without serializing a long prompt again.
 */
import { createHash } from "node:crypto";
import { isForwardedField } from "./bodyFields.ts";
import type { CompletionRequest } from "./types.ts";

/** The two parts of a serialized body. */
export interface SerializedBody {
  /** JSON of the prompt: an array of messages or a string. */
  readonly prompt: string;
  /** The other forwarded fields, as a JSON object without its braces; empty if there are none. */
  readonly otherFields: string;
}

const bodies = new WeakMap<CompletionRequest, SerializedBody>();

const createSerializedBody = ({ kind, body }: CompletionRequest): SerializedBody => {
  const others = Object.entries(body).filter(([field]) => isForwardedField(field));
  return {
    prompt: JSON.stringify(kind === "chat" ? body.messages : body.prompt),
    otherFields: JSON.stringify(Object.fromEntries(others)).slice(1, -1),
  };
};

/** @returns The serialized body of a request; the same object for each call. */
export const serializeBody = (request: CompletionRequest): SerializedBody => {
  const known = bodies.get(request);
  if (known !== undefined) return known;
  const serialized = createSerializedBody(request);
  bodies.set(request, serialized);
  return serialized;
};

/**
 * Computes a digest of a request, to detect a different request that uses the same idempotency key or resume token.
 *
 * @returns SHA-256, base64url.
 */
export const digestRequest = (request: CompletionRequest): string => {
  const { kind, model, adapter = "", maximumTokens } = request;
  const { prompt, otherFields } = serializeBody(request);
  const hash = createHash("sha256");
  hash.update(JSON.stringify([kind, model, adapter, maximumTokens]));
  return hash.update(otherFields).update("\u0000").update(prompt).digest("base64url");
};
