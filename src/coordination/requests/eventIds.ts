/** Creates the ids of a stream's SSE events. Each id is a resume token. */
import type { AnswerBatch, AnswerPosition } from "../../protocol/FrontEnd.ts";
import { digestRequest } from "../../protocol/serializedBody.ts";
import { formatResumeToken } from "../../protocol/resumeToken.ts";
import type { ResumeTokens } from "../../protocol/resumeToken.ts";
import type { CompletionRequest } from "../../protocol/types.ts";
import type { Clock } from "../clock.ts";
import { resumeTokenLifetime } from "./constants.ts";
import type { CompletionJob } from "./types.ts";

const shortDigestLength = 16;

const toSeconds = (milliseconds: number): number => Math.ceil(milliseconds / 1_000);

/** @returns A digest long enough to detect a different body. It is short because every event carries it. */
export const shortRequestDigest = (request: CompletionRequest): string =>
  digestRequest(request).slice(0, shortDigestLength);

/**
 * Creates the function that returns the id of an event. It signs once per attempt; only the position differs between
 * events of one attempt.
 *
 * @param job - The request that the stream answers.
 */
export const createEventIds = (tokens: ResumeTokens, clock: Clock, { context, request }: CompletionJob) => {
  let attempt: string | undefined;
  let signedPart = "";

  const signFor = (batch: AnswerBatch): string => {
    const remaining = Math.max(0, context.completionDeadline - clock.monotonic());
    return tokens.sign({
      organisation: context.organisation.name,
      digest: shortRequestDigest(request),
      idempotent: context.idempotent,
      engineId: batch.engineId,
      incarnation: batch.incarnation,
      attempt: batch.attempt,
      attemptOffset: batch.attemptOffset,
      expiresAt: toSeconds(clock.wall() + remaining + resumeTokenLifetime),
    });
  };

  return (batch: AnswerBatch, delivered: AnswerPosition): string => {
    if (batch.attempt !== attempt) {
      attempt = batch.attempt;
      signedPart = signFor(batch);
    }
    return formatResumeToken(signedPart, delivered);
  };
};
