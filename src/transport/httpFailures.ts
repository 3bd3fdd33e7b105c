/** Turns what undici throws, and what an upstream answers, into {@link UpstreamError}s. */
import { z } from "zod";
import { headers, outcomes } from "../protocol/constants.ts";
import type { UpstreamError, UpstreamFault, UpstreamProgress } from "../protocol/errors.ts";
import { upstreamError } from "../protocol/errors.ts";

/** Failures that come before the first byte of a request leaves. */
const connectFailures: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);

const codeOf = (error: unknown): string =>
  typeof error === "object" && error !== null && "code" in error ? String(error.code) : "";

/**
 * Types a failure of a connection.
 *
 * @param progress - How far the attempt had come, if the connection had been made.
 */
export const connectionFailure = (cause: unknown, progress: UpstreamProgress): UpstreamError => {
  const code = codeOf(cause);
  if (connectFailures.has(code)) return upstreamError("cannot connect", "unreachable", "not_sent", cause);
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
