/** How long answers to questions between routers take, and so how long one is waited for. Durations are milliseconds. */

/** What an expectation is made of. */
export interface AnswerTimesParts {
  /** Until answers have shown otherwise: how long one takes. */
  readonly assumed: number;
  /** Part of a new observation in the average. */
  readonly gain: number;
  /** Longest wait for an answer: so many times what answers took of late, between two bounds. */
  readonly patience: { readonly factor: number; readonly shortest: number; readonly longest: number };
}

/** See {@link createAnswerTimes}. */
export interface AnswerTimes {
  /** @returns How long an answer is waited for. */
  readonly patience: () => number;
  /** An answer has come. */
  readonly note: (milliseconds: number) => void;
}

/** Creates an expectation that has seen no answer. */
export const createAnswerTimes = ({ assumed, gain, patience }: AnswerTimesParts): AnswerTimes => {
  const { factor, shortest, longest } = patience;
  let usual = assumed;
  return {
    patience: () => Math.min(longest, Math.max(shortest, usual * factor)),
    note: (milliseconds) => {
      usual += (milliseconds - usual) * gain;
    },
  };
};
