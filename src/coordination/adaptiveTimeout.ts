/** How long answers to questions between routers take, and so how long one is waited for. Durations are milliseconds. */

/** What an expectation is made of. */
export interface AdaptiveTimeoutOptions {
  /** Until answers have shown otherwise: how long one takes. */
  readonly initialLatency: number;
  /** Part of a new observation in the average. */
  readonly smoothingFactor: number;
  /** Longest wait for an answer: so many times what answers took of late, between two bounds. */
  readonly timeoutRange: { readonly factor: number; readonly shortest: number; readonly longest: number };
}

/** See {@link createAdaptiveTimeout}. */
export interface AdaptiveTimeout {
  /** @returns How long an answer is waited for. */
  readonly timeout: () => number;
  /** An answer has come. */
  readonly observe: (milliseconds: number) => void;
}

/** Creates an expectation that has seen no answer. */
export const createAdaptiveTimeout = ({
  initialLatency: assumed,
  smoothingFactor: gain,
  timeoutRange: patience,
}: AdaptiveTimeoutOptions): AdaptiveTimeout => {
  const { factor, shortest, longest } = patience;
  let usual = assumed;
  return {
    timeout: () => Math.min(longest, Math.max(shortest, usual * factor)),
    observe: (milliseconds) => {
      usual += (milliseconds - usual) * gain;
    },
  };
};
