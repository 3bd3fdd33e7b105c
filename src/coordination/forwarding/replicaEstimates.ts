/** How fast replicas are, learned from the answers that this router passes on. */
import { assumedPrefillRate, assumedServiceTime, smoothingFactor, fewestRateTokens } from "./constants.ts";

/** See {@link createReplicaEstimates}. */
export interface ReplicaEstimates {
  /** @returns Prompt tokens that the engine computes in a millisecond. */
  readonly prefillRate: (replica: string) => number;
  /** @returns Milliseconds that the replica takes for a request when it has nothing else to do. */
  readonly serviceTime: (replica: string) => number;
  /** An engine had no other request of this router when one came. @param milliseconds - To the first token. */
  readonly learnPrefill: (replica: string, tokens: number, milliseconds: number) => void;
  readonly learnServiceTime: (replica: string, milliseconds: number) => void;
  readonly forget: (replica: string) => void;
}

const slowestPrefillRate = 1;

/** A single slow answer says little: it counts for no more than so many times the average. */
const longestOutlier = 4;

/** Creates estimates that know nothing. */
export const createReplicaEstimates = (): ReplicaEstimates => {
  const rates = new Map<string, number>();
  const times = new Map<string, number>();

  const average = (values: Map<string, number>, replica: string, value: number, assumed: number): void => {
    const before = values.get(replica) ?? assumed;
    values.set(replica, before + (value - before) * smoothingFactor);
  };

  return {
    prefillRate: (replica) => rates.get(replica) ?? assumedPrefillRate,
    serviceTime: (replica) => times.get(replica) ?? assumedServiceTime,
    learnPrefill: (replica, tokens, milliseconds) => {
      if (tokens < fewestRateTokens) return;
      const rate = Math.max(slowestPrefillRate, tokens / Math.max(1, milliseconds));
      average(rates, replica, rate, assumedPrefillRate);
    },
    learnServiceTime: (replica, milliseconds) => {
      const before = times.get(replica) ?? assumedServiceTime;
      average(times, replica, Math.min(milliseconds, before * longestOutlier), assumedServiceTime);
    },
    forget: (replica) => {
      rates.delete(replica);
      times.delete(replica);
    },
  };
};
