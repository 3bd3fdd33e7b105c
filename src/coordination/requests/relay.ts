/** Hands on the pieces of one attempt, and ends the attempt the way its reader ended. */
import type { AnswerBatch } from "../../protocol/FrontEnd.ts";
import type { AnswerFrame } from "../../protocol/types.ts";
import { hasBegun, notePiece, combinedUsage } from "./deliveredAnswer.ts";
import type { DeliveredAnswer } from "./deliveredAnswer.ts";
import type { AttemptEnd, AttemptOrigin, OpenAttempt } from "./attempt.ts";
import type { RunScope } from "./runScope.ts";

/** Pieces beyond the caller's limit have no text for it; they come where only the end of an answer was lost. */
const cutAtLimit = (frame: AnswerFrame, answer: DeliveredAnswer, maximumTokens: number): AnswerFrame =>
  frame.text === "" || answer.tokens < maximumTokens ? frame : { ...frame, text: "" };

/** Reads what nobody hears, so that the outcome is known. */
const readUnheard = async (attempt: OpenAttempt): Promise<AttemptEnd> => {
  try {
    while ((await attempt.next()) !== undefined);
    return "finished";
  } catch {
    return "failed";
  }
};

/**
 * Relays an attempt to its end.
 *
 * @returns The pieces; throws `UpstreamError` where the engine fails.
 */
export const relayAttempt = async function* (
  { job, state, stopper, retries }: RunScope,
  attempt: OpenAttempt,
): AsyncGenerator<AnswerBatch, void, void> {
  const { context, request } = job;
  const { answer } = state;

  const takePiece = (received: AnswerFrame, { attemptOffset }: AttemptOrigin): AnswerFrame => {
    const frame = cutAtLimit(received, answer, request.maximumTokens);
    notePiece(answer, frame);
    if (frame.usage === undefined || attemptOffset === 0) return frame;
    return { ...frame, usage: combinedUsage(frame.usage, attemptOffset, request.maximumTokens) };
  };

  const takePieces = (received: readonly AnswerFrame[]): AnswerBatch => {
    const { tokens: firstOffset, textlessPieces: firstOthers } = answer;
    const frames = received.map((frame) => takePiece(frame, attempt.origin));
    retries.noteProgress();
    return { frames, firstOffset, precedingTextlessPieces: firstOthers, ...attempt.origin };
  };

  /** A caller that has part of a stream may come back for the rest. */
  const endOfLeft = (): AttemptEnd => (request.stream && hasBegun(answer) ? "left" : "cancelled");

  const endOfFailure = (): AttemptEnd => {
    if (stopper.reason() === undefined) return "failed";
    return stopper.reason() === "caller_left" ? endOfLeft() : "cancelled";
  };

  let end: AttemptEnd | undefined;
  try {
    for (;;) {
      const received = await attempt.next();
      if (received === undefined) break;
      yield takePieces(received);
    }
    end = "finished";
  } catch (error) {
    end = endOfFailure();
    state.excluded.add(attempt.origin.engineId);
    throw error;
  } finally {
    // Without an end the reader of these pieces has stopped reading.
    end ??= context.idempotent ? endOfLeft() : await readUnheard(attempt);
    if (end === "finished") state.finished = true;
    attempt.close(end);
  }
};
