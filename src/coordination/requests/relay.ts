/** Relays the pieces of one attempt to the caller, and closes the attempt with how the relay ended. */
import type { AnswerBatch } from "../../protocol/FrontEnd.ts";
import type { AnswerFrame } from "../../protocol/types.ts";
import { hasBegun, notePiece, combinedUsage } from "./deliveredAnswer.ts";
import type { DeliveredAnswer } from "./deliveredAnswer.ts";
import type { AttemptEnd, AttemptOrigin, OpenAttempt } from "./attempt.ts";
import type { RunScope } from "./runScope.ts";

/**
 * Removes the text of pieces beyond the caller's token limit. They occur when only the end of an answer was lost: the
 * continuation has to ask for at least one more token.
 */
const truncateAtLimit = (frame: AnswerFrame, answer: DeliveredAnswer, maximumTokens: number): AnswerFrame =>
  frame.text === "" || answer.tokens < maximumTokens ? frame : { ...frame, text: "" };

/** Reads the rest of an answer that no caller receives, so that the outcome of the request is known. */
const readToEnd = async (attempt: OpenAttempt): Promise<AttemptEnd> => {
  try {
    while ((await attempt.next()) !== undefined);
    return "finished";
  } catch {
    return "failed";
  }
};

/**
 * Relays an attempt until its answer ends.
 *
 * @returns The pieces; throws `UpstreamError` if the engine fails.
 */
export const relayAttempt = async function* (
  { job, state, stopper, retries }: RunScope,
  attempt: OpenAttempt,
): AsyncGenerator<AnswerBatch, void, void> {
  const { context, request } = job;
  const { answer } = state;

  const processPiece = (received: AnswerFrame, { attemptOffset }: AttemptOrigin): AnswerFrame => {
    const frame = truncateAtLimit(received, answer, request.maximumTokens);
    notePiece(answer, frame);
    if (frame.usage === undefined || attemptOffset === 0) return frame;
    return { ...frame, usage: combinedUsage(frame.usage, attemptOffset, request.maximumTokens) };
  };

  const createBatch = (received: readonly AnswerFrame[]): AnswerBatch => {
    const { tokens: firstOffset, textlessPieces: precedingTextlessPieces } = answer;
    const frames = received.map((frame) => processPiece(frame, attempt.origin));
    retries.noteProgress();
    return { frames, firstOffset, precedingTextlessPieces, ...attempt.origin };
  };

  /** A caller that has received part of a stream may reconnect to resume it. */
  const endAfterCallerLeft = (): AttemptEnd => (request.stream && hasBegun(answer) ? "left" : "cancelled");

  const endOfFailure = (): AttemptEnd => {
    if (stopper.reason() === undefined) return "failed";
    return stopper.reason() === "caller_left" ? endAfterCallerLeft() : "cancelled";
  };

  let end: AttemptEnd | undefined;
  try {
    for (;;) {
      const received = await attempt.next();
      if (received === undefined) break;
      yield createBatch(received);
    }
    end = "finished";
  } catch (error) {
    end = endOfFailure();
    state.excluded.add(attempt.origin.engineId);
    throw error;
  } finally {
    // `end` is not set if the consumer of this generator stopped reading.
    end ??= context.idempotent ? endAfterCallerLeft() : await readToEnd(attempt);
    if (end === "finished") state.finished = true;
    attempt.close(end);
  }
};
