import type { AnswerFraming } from "../../protocol/forwarding/types.ts";
import type { RawAnswer } from "./answerReader.ts";

/** Statuses of answers that end with their head. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/**
 * Determines what marks the end of an answer's body.
 *
 * Source: RFC 9112, section 6.3, "Message Body Length".
 *
 * @param method - The method of the request.
 */
export const framingOf = (
  method: string,
  { status, headers }: Pick<RawAnswer, "status" | "headers">,
): AnswerFraming => {
  if (method === "HEAD" || bodilessStatuses.has(status)) return "length";
  const encoding = headers["transfer-encoding"];
  if (encoding !== undefined)
    return String(encoding).toLowerCase().endsWith("chunked") ? "chunks" : "connection";
  return headers["content-length"] === undefined ? "connection" : "length";
};
