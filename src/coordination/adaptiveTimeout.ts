/** Timeout of queries between routers, adapted to the observed response times. Durations are in milliseconds. */

export interface AdaptiveTimeoutOptions {
  /** Average response time to start with. */
  readonly initialLatency: number;
  /** Weight of a new observation in the exponentially weighted average. */
  readonly smoothingFactor: number;
  /** The timeout is `factor` times the average response time, bounded by `shortest` and `longest`. */
  readonly timeoutRange: { readonly factor: number; readonly shortest: number; readonly longest: number };
}

/** Tracks response times and derives a timeout from them. */
export interface AdaptiveTimeout {
  /** @returns The current timeout, in milliseconds. */
  readonly timeout: () => number;
  /** Records the response time of one answer. */
  readonly observe: (milliseconds: number) => void;
}

/** Creates a timeout that has observed no response yet. */
export const createAdaptiveTimeout = ({
  initialLatency,
  smoothingFactor,
  timeoutRange,
}: AdaptiveTimeoutOptions): AdaptiveTimeout => {
  const { factor, shortest, longest } = timeoutRange;
  let average = initialLatency;
  return {
    timeout: () => Math.min(longest, Math.max(shortest, average * factor)),
    observe: (milliseconds) => {
      average += (milliseconds - average) * smoothingFactor;
    },
  };
};
