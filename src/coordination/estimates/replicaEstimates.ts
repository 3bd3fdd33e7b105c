/** Estimates how fast replicas are from the answers that this router forwards. */
import {
  assumedPrefillRate,
  assumedServiceTime,
  smoothingFactor,
  minRateSampleTokens,
} from "../forwarding/constants.ts";

export interface ReplicaEstimates {
  /** @returns Prompt tokens that the engine computes per millisecond. */
  readonly prefillRate: (replica: string) => number;
  /** @returns Average milliseconds that the replica takes for a request. */
  readonly serviceTime: (replica: string) => number;
  /**
   * Updates an engine's prefill rate from a request that found it idle.
   *
   * @param tokens - Prompt tokens that the engine computed.
   * @param milliseconds - Time to the first token.
   */
  readonly learnPrefill: (replica: string, tokens: number, milliseconds: number) => void;
  readonly learnServiceTime: (replica: string, milliseconds: number) => void;
  readonly forget: (replica: string) => void;
}

const minPrefillRate = 1;

/** A single slow answer says little: it counts as at most this many times the average. */
const maxOutlierFactor = 4;

/** Creates estimates that start from the assumed values. */
export const createReplicaEstimates = (): ReplicaEstimates => {
  const rates = new Map<string, number>();
  const times = new Map<string, number>();

  const updateAverage = (
    values: Map<string, number>,
    replica: string,
    value: number,
    assumed: number,
  ): void => {
    const before = values.get(replica) ?? assumed;
    values.set(replica, before + (value - before) * smoothingFactor);
  };

  return {
    prefillRate: (replica) => rates.get(replica) ?? assumedPrefillRate,
    serviceTime: (replica) => times.get(replica) ?? assumedServiceTime,
    learnPrefill: (replica, tokens, milliseconds) => {
      if (tokens < minRateSampleTokens) return;
      const rate = Math.max(minPrefillRate, tokens / Math.max(1, milliseconds));
      updateAverage(rates, replica, rate, assumedPrefillRate);
    },
    learnServiceTime: (replica, milliseconds) => {
      const before = times.get(replica) ?? assumedServiceTime;
      updateAverage(times, replica, Math.min(milliseconds, before * maxOutlierFactor), assumedServiceTime);
    },
    forget: (replica) => {
      rates.delete(replica);
      times.delete(replica);
    },
  };
};
