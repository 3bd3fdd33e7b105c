/**
 * Confidence that a home of a prefix (one of the first engines in its rendezvous order, which routers prefer for it)
 * has it cached although this router has not sent it there: if all routers share the prefix, others have. Learned from
 * answers, separately for each organisation and range of request rates.
 */
import { initialHomeConfidence, homeConfidenceGain, homeWarmupTime, homeWarmupDelay } from "./constants.ts";

export interface HomeConfidence {
  /**
   * @param rate - Requests of all routers for the prefix, per millisecond; 0 if this router has seen it at most once.
   * @param identityAge - Milliseconds since the engine's current incarnation and weights were first seen.
   * @returns The confidence, 0 to 1.
   */
  readonly of: (organisation: string, rate: number, identityAge: number) => number;
  readonly learn: (organisation: string, rate: number, wasCached: boolean) => void;
}

/** Upper bounds of the ranges of request rates, per millisecond; each range is learned separately. */
const rateBounds = [0, 0.0005, 0.001, 0.002, 0.004] as const;

const bucketOf = (rate: number): number => {
  const found = rateBounds.findIndex((bound) => rate <= bound);
  return found < 0 ? rateBounds.length : found;
};

const clampShare = (share: number): number => Math.min(1, Math.max(0, share));

export const createHomeConfidence = (): HomeConfidence => {
  const learned = new Map<string, number[]>();

  const bucketsOf = (organisation: string): number[] => {
    const known = learned.get(organisation) ?? [];
    learned.set(organisation, known);
    return known;
  };

  return {
    of: (organisation, rate, identityAge) => {
      const confidence = bucketsOf(organisation)[bucketOf(rate)] ?? initialHomeConfidence;
      return confidence * clampShare((identityAge - homeWarmupDelay) / homeWarmupTime);
    },
    learn: (organisation, rate, wasCached) => {
      const buckets = bucketsOf(organisation);
      const bucket = bucketOf(rate);
      const before = buckets[bucket] ?? initialHomeConfidence;
      buckets[bucket] = before + ((wasCached ? 1 : 0) - before) * homeConfidenceGain;
    },
  };
};
