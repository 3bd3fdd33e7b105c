/**
 * A request's body as JSON text, made once for each request: attempts put their own fields around it, and
 * digests are taken of it, without writing a long prompt out again.
 */
import { createHash } from "node:crypto";
import { isForwarded } from "./bodyFields.ts";
import type { CompletionRequest } from "./types.ts";

/** The two parts of a body. */
export interface SerializedBody {
  /** JSON of the prompt: an array of messages, or a string. */
  readonly prompt: string;
  /** The other fields that engines get, as the caller sent them, as the inside of a JSON object; empty if there are none. */
  readonly otherFields: string;
}

const texts = new WeakMap<CompletionRequest, SerializedBody>();

const writeTexts = ({ kind, body }: CompletionRequest): SerializedBody => {
  const others = Object.entries(body).filter(([field]) => isForwarded(field));
  return {
    prompt: JSON.stringify(kind === "chat" ? body.messages : body.prompt),
    otherFields: JSON.stringify(Object.fromEntries(others)).slice(1, -1),
  };
};

/** @returns The texts of a request; the same object each time. */
export const serializeBody = (request: CompletionRequest): SerializedBody => {
  const known = texts.get(request);
  if (known !== undefined) return known;
  const written = writeTexts(request);
  texts.set(request, written);
  return written;
};

/**
 * A digest of all that a request asks for, so that another request under the same key or token is noticed.
 *
 * @returns SHA-256, base64url.
 */
export const digestRequest = (request: CompletionRequest): string => {
  const { kind, model, adapter = "", maximumTokens } = request;
  const { prompt, otherFields: others } = serializeBody(request);
  const hash = createHash("sha256");
  hash.update(JSON.stringify([kind, model, adapter, maximumTokens]));
  return hash.update(others).update("\u0000").update(prompt).digest("base64url");
};
