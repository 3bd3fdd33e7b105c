/** Converts undici's errors and the error answers of upstreams into {@link UpstreamError}s. */
import { z } from "zod";
import { headers, outcomes } from "../protocol/constants.ts";
import type { UpstreamError, UpstreamFault, UpstreamProgress } from "../protocol/errors.ts";
import { upstreamError } from "../protocol/errors.ts";

/** Error codes of connections that could not be opened. Open connections can fail with them as well. */
const connectErrorCodes: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
]);

/** Code of the error with which a connection is closed whose answer does not end. */
export const endlessAnswerCode = "ENDLESS_ANSWER";

/** Undici's code for a head that is too long. */
const headOverflowCode = "UND_ERR_HEADERS_OVERFLOW";

const readField = (error: unknown, field: string): string => {
  if (typeof error !== "object" || error === null || !(field in error)) return "";
  return String((error as Readonly<Record<string, unknown>>)[field]);
};

/** The code alone is no proof: an open connection can break with one of these codes after the request was sent. */
const isConnectError = (cause: unknown): boolean => {
  const code = readField(cause, "code");
  if (code === "UND_ERR_CONNECT_TIMEOUT") return true;
  return connectErrorCodes.has(code) && readField(cause, "syscall") === "connect";
};

/**
 * Classifies a connection error.
 *
 * @param progress - How far the attempt had come, provided that the connection was open.
 */
export const connectionFailure = (cause: unknown, progress: UpstreamProgress): UpstreamError => {
  const code = readField(cause, "code");
  if (progress !== "streaming" && isConnectError(cause))
    return upstreamError("cannot connect", "unreachable", "not_sent", cause);
  if (code === endlessAnswerCode || code === headOverflowCode)
    return upstreamError("the answer does not end", "endless", progress, cause);
  const isTimeout = code === "UND_ERR_HEADERS_TIMEOUT" || code === "UND_ERR_BODY_TIMEOUT";
  return upstreamError("the connection failed", isTimeout ? "stalled" : "closed_early", progress, cause);
};

const errorBodySchema = z.object({ error: z.object({ code: z.string(), message: z.string().optional() }) });

const faultsByCode: Readonly<Record<string, UpstreamFault>> = {
  leaving: "leaving",
  overloaded: "overloaded",
  loading: "wrong_weights",
  stale_fencing: "stale_fencing",
  condition_failed: "condition_failed",
  unknown_attempt: "unknown_attempt",
};

/** Classifies an answer with an error status. It is a refusal only if its outcome header says that nothing ran. */
export const statusFailure = (
  status: number,
  answerHeaders: Readonly<Record<string, string | string[] | undefined>>,
  text: string,
): UpstreamError => {
  const refused = answerHeaders[headers.outcome] === outcomes.notRun;
  const parsed = errorBodySchema.safeParse(parseJson(text));
  const code = parsed.data?.error.code ?? "";
  const fault = faultsByCode[code] ?? (refused ? "refused" : "failed");
  const message = parsed.data?.error.message ?? `status ${status}`;
  return upstreamError(message, fault, refused ? "refused" : "sent", undefined, status);
};

/** @returns The parsed text, or `undefined` if it is not JSON. */
export const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};
