/** The ids of a stream's events: resume tokens. */
import type { AnswerBatch, AnswerPosition } from "../../protocol/FrontEnd.ts";
import { digestRequest } from "../../protocol/serializedBody.ts";
import { formatResumeToken } from "../../protocol/resumeToken.ts";
import type { ResumeTokens } from "../../protocol/resumeToken.ts";
import type { CompletionRequest } from "../../protocol/types.ts";
import type { Clock } from "../clock.ts";
import { resumeTokenLifetime } from "./constants.ts";
import type { CompletionJob } from "./types.ts";

const shortDigestLength = 16;

const secondsOf = (milliseconds: number): number => Math.ceil(milliseconds / 1_000);

/** Enough to notice another body; the token's length counts for every event. */
export const shortRequestDigest = (request: CompletionRequest): string =>
  digestRequest(request).slice(0, shortDigestLength);

/**
 * Makes the function that names events; it signs once for each attempt.
 *
 * @param job - The request that is answered.
 */
export const createEventIds = (tokens: ResumeTokens, clock: Clock, { context, request }: CompletionJob) => {
  let attempt: string | undefined;
  let signed = "";

  const signFor = (batch: AnswerBatch): string => {
    const left = Math.max(0, context.completionDeadline - clock.monotonic());
    return tokens.sign({
      organisation: context.organisation.name,
      digest: shortRequestDigest(request),
      idempotent: context.idempotent,
      engineId: batch.engineId,
      incarnation: batch.incarnation,
      attempt: batch.attempt,
      attemptOffset: batch.attemptOffset,
      expiresAt: secondsOf(clock.wall() + left + resumeTokenLifetime),
    });
  };

  return (batch: AnswerBatch, delivered: AnswerPosition): string => {
    if (batch.attempt !== attempt) {
      attempt = batch.attempt;
      signed = signFor(batch);
    }
    return formatResumeToken(signed, delivered);
  };
};
