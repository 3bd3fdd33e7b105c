/** The part of an answer that has been delivered to the caller, over all engines that generated it. */
import type { AnswerFrame, Usage } from "../../protocol/types.ts";

/** The delivered part of an answer. Only the task that relays the answer changes it. */
export interface DeliveredAnswer {
  text: string;
  /** Number of pieces with text; each counts as one token. */
  tokens: number;
  /** Number of pieces without text since the last piece with text. */
  textlessPieces: number;
  /** False if the caller has received text that this router does not know. */
  textKnown: boolean;
  /** False once a piece has been delivered after which no other engine can continue, such as a tool call. */
  continuable: boolean;
}

/** @returns An answer of which nothing has been delivered. */
export const emptyAnswer = (): DeliveredAnswer => ({
  text: "",
  tokens: 0,
  textlessPieces: 0,
  textKnown: true,
  continuable: true,
});

/** @returns Whether any piece has been delivered. */
export const hasBegun = ({ tokens, textlessPieces }: DeliveredAnswer): boolean =>
  tokens > 0 || textlessPieces > 0;

/** Adds a piece to the delivered part. */
export const notePiece = (answer: DeliveredAnswer, frame: AnswerFrame): void => {
  if (frame.text === "") {
    answer.textlessPieces += 1;
  } else {
    answer.text += frame.text;
    answer.tokens += 1;
    answer.textlessPieces = 0;
  }
  if (frame.extra !== undefined) answer.continuable = false;
};

/**
 * Converts the usage that a continuation reports to the usage of the whole answer, as if one engine had generated it.
 * The engine counts the text that earlier attempts generated as part of its prompt.
 *
 * @param attemptOffset - Tokens of the answer that were generated before the attempt.
 * @param maximumTokens - The caller's limit on generated tokens.
 */
export const combinedUsage = (usage: Usage, attemptOffset: number, maximumTokens: number): Usage => {
  const promptTokens = Math.max(0, usage.promptTokens - attemptOffset);
  return {
    promptTokens,
    completionTokens: Math.min(maximumTokens, usage.completionTokens + attemptOffset),
    cachedTokens: Math.min(promptTokens, usage.cachedTokens),
  };
};
