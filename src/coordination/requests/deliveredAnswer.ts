/** What a caller has been given of an answer, whatever engines it came from. */
import type { AnswerFrame, Usage } from "../../protocol/types.ts";

/** Changed only by the task that relays the answer. */
export interface DeliveredAnswer {
  text: string;
  /** Pieces with text. */
  tokens: number;
  /** Pieces without text since the last one with text. */
  textlessPieces: number;
  /** False where the caller has text that this router has not seen. */
  textKnown: boolean;
  /** False once a piece has come that another engine could not go on after. */
  continuable: boolean;
}

/** An answer of which nothing has come. */
export const emptyAnswer = (): DeliveredAnswer => ({
  text: "",
  tokens: 0,
  textlessPieces: 0,
  textKnown: true,
  continuable: true,
});

/** True once the caller has some of it. */
export const hasBegun = ({ tokens, textlessPieces: others }: DeliveredAnswer): boolean =>
  tokens > 0 || others > 0;

/** Notes a piece. */
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
 * Counts usage as if one engine had given the whole answer: a continuation reads as part of its prompt what
 * earlier attempts had generated.
 *
 * @param attemptOffset - Tokens that came before the attempt.
 * @param maximumTokens - The caller's limit.
 */
export const combinedUsage = (usage: Usage, attemptOffset: number, maximumTokens: number): Usage => {
  const promptTokens = Math.max(0, usage.promptTokens - attemptOffset);
  return {
    promptTokens,
    completionTokens: Math.min(maximumTokens, usage.completionTokens + attemptOffset),
    cachedTokens: Math.min(promptTokens, usage.cachedTokens),
  };
};
