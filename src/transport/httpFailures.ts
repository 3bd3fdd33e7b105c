/** Turns what undici throws, and what an upstream answers, into {@link UpstreamError}s. */
import { z } from "zod";
import { headers, outcomes } from "../protocol/constants.ts";
import type { UpstreamError, UpstreamFault, UpstreamProgress } from "../protocol/errors.ts";
import { upstreamError } from "../protocol/errors.ts";

/** Failures that may come before the first byte of a request leaves. */
const connectFailures: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
]);

const fieldOf = (error: unknown, field: string): string => {
  if (typeof error !== "object" || error === null || !(field in error)) return "";
  return String((error as Readonly<Record<string, unknown>>)[field]);
};

/** An established connection can break with a connect failure's code, too; then a request may have left. */
const isConnectFailure = (cause: unknown): boolean => {
  const code = fieldOf(cause, "code");
  if (code === "UND_ERR_CONNECT_TIMEOUT") return true;
  return connectFailures.has(code) && fieldOf(cause, "syscall") === "connect";
};

/**
 * Types a failure of a connection.
 *
 * @param progress - How far the attempt had come, if the connection had been made.
 */
export const connectionFailure = (cause: unknown, progress: UpstreamProgress): UpstreamError => {
  const code = fieldOf(cause, "code");
  if (progress !== "streaming" && isConnectFailure(cause))
    return upstreamError("cannot connect", "unreachable", "not_sent", cause);
  const isTimeout = code === "UND_ERR_HEADERS_TIMEOUT" || code === "UND_ERR_BODY_TIMEOUT";
  return upstreamError("the connection failed", isTimeout ? "stalled" : "closed_early", progress, cause);
};

const refusalBody = z.object({ error: z.object({ code: z.string(), message: z.string().optional() }) });

const faultsByCode: Readonly<Record<string, UpstreamFault>> = {
  leaving: "leaving",
  overloaded: "overloaded",
  loading: "wrong_weights",
  stale_fencing: "stale_fencing",
  condition_failed: "condition_failed",
  unknown_attempt: "unknown_attempt",
};

/** Types an answer with an error status. Only the upstream's own word makes it a refusal. */
export const statusFailure = (
  status: number,
  answerHeaders: Readonly<Record<string, string | string[] | undefined>>,
  text: string,
): UpstreamError => {
  const refused = answerHeaders[headers.outcome] === outcomes.notRun;
  const parsed = refusalBody.safeParse(parseJson(text));
  const code = parsed.data?.error.code ?? "";
  const fault = faultsByCode[code] ?? (refused ? "refused" : "failed");
  const message = parsed.data?.error.message ?? `status ${status}`;
  return upstreamError(message, fault, refused ? "refused" : "sent", undefined, status);
};

/** @returns The parsed text, or undefined where it is not JSON. */
export const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};
