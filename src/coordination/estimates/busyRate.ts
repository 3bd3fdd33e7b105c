/**
 * Estimates the prefill rate of a replica that is never idle. Load addressed: replicas differ in speed and have prompts
 * to compute all the time, so that no request shows how long a prompt takes alone.
 *
 * The rate is the number of prompt tokens computed, divided by the time between the first tokens that show it. The time
 * from the start of a busy period to its first one is left out: it contains the fixed delay before any first token,
 * which is a large part of a short period. Between two first tokens of a busy period, the delay cancels out.
 */

import { staleShare } from "./ageing.ts";

/** Time constant of the averages, milliseconds of usual computation: 95 % of the weight is on the last 2.7 s. */
const averagingTime = 900;

/** Samples are collected up to this number of tokens: the time of fewer depends on when reports happen to arrive. */
const minSampleTokens = 6_000;

/** The same for their time, milliseconds: work that peers announce arrives several prompts at a time. */
const minSampleTime = 200;

/** Weight of the estimate that a rate starts from, as busy time in milliseconds. */
const startingWeight = 300;

/**
 * A sample counts as at most this many times faster or slower than the estimate. Replicas whose speeds differ by a
 * factor of 2.4 are still learned at once, and one prompt of 12,000 tokens that waits for seconds moves the estimate of
 * a replica with 66 tokens per millisecond by less than a quarter.
 */
const maxOutlierFactor = 2;

/** What is known of a replica's work after an event. */
export interface BusySample {
  /** Milliseconds on the monotonic clock. */
  readonly now: number;
  /** Prompt tokens of all requests that have no first token yet. */
  readonly outstandingTokens: number;
  /** Prompt tokens of the requests whose first token has arrived since the previous sample. */
  readonly computedTokens: number;
}

export interface BusyRate {
  /**
   * @param expected - The current estimate, or that of similar replicas, tokens per millisecond; `undefined` if there
   * is none.
   * @returns The new rate, tokens per millisecond; `undefined` if the sample does not change it.
   */
  readonly note: (sample: BusySample, expected: number | undefined) => number | undefined;
  /** Ends the busy period: until the next sample, it is not known what the replica computes. */
  readonly pause: () => void;
}

/** Creates the estimate of one replica; a few operations for each sample. */
export const createBusyRate = (): BusyRate => {
  let notedAt = 0;
  let isBusy = false;
  /** Busy time since the last first token; `undefined` before the first one of a busy period. */
  let sinceFirstToken: number | undefined;
  /** Not yet part of the averages. */
  const collected = { tokens: 0, time: 0 };
  const average = { tokens: 0, time: 0, updatedAt: 0 };

  const collect = (tokens: number): void => {
    if (sinceFirstToken !== undefined) {
      collected.tokens += tokens;
      collected.time += sinceFirstToken;
    }
    sinceFirstToken = 0;
  };

  /**
   * Earlier samples lose weight with the tokens of later ones, not with their time, which a single slow prompt may
   * extend. They also age as the estimate does.
   */
  const decay = (now: number, usualTime: number, expected: number | undefined): void => {
    const remaining = Math.exp(-usualTime / averagingTime) * (1 - staleShare(now - average.updatedAt));
    average.updatedAt = now;
    average.tokens *= remaining;
    average.time *= remaining;
    const missing = startingWeight - average.time;
    if (expected === undefined || missing <= 0) return;
    average.time += missing;
    average.tokens += missing * expected;
  };

  const addCollected = (now: number, expected: number | undefined): number => {
    const { tokens } = collected;
    const usual = expected === undefined ? collected.time : tokens / expected;
    decay(now, usual, expected);
    const time = Math.min(usual * maxOutlierFactor, Math.max(usual / maxOutlierFactor, collected.time));
    average.tokens += tokens;
    average.time += time;
    collected.tokens = 0;
    collected.time = 0;
    return average.tokens / average.time;
  };

  return {
    pause: () => {
      isBusy = false;
      sinceFirstToken = undefined;
    },
    note: ({ now, outstandingTokens, computedTokens }, expected) => {
      if (isBusy && sinceFirstToken !== undefined) sinceFirstToken += Math.max(0, now - notedAt);
      notedAt = now;
      if (isBusy && computedTokens > 0) collect(computedTokens);
      isBusy = outstandingTokens > 0;
      if (!isBusy) sinceFirstToken = undefined;
      const isComplete = collected.tokens >= minSampleTokens && collected.time >= minSampleTime;
      return isComplete ? addCollected(now, expected) : undefined;
    },
  };
};
