/**
 * How likely a prefix's home holds it although this router has not sent it there: others have, if it is shared by
 * all. Learned from answers, apart for each organisation and for prefixes of different heat.
 */
import { firstHomeConfidence, homeConfidenceGain, homeSettling, homeSettlingFrom } from "./constants.ts";

/** Confidence in homes. */
export interface HomeConfidence {
  /**
   * @param rate - Requests of all routers for the prefix, a millisecond; 0 if this router has met it once at most.
   * @param knownFor - Milliseconds since the engine's present incarnation and weights are known.
   * @returns 0 to 1.
   */
  readonly of: (organisation: string, rate: number, knownFor: number) => number;
  readonly learn: (organisation: string, rate: number, held: boolean) => void;
}

/** Upper bounds of the rates that are learned about together, a millisecond. */
const rateBounds = [0, 0.0005, 0.001, 0.002, 0.004] as const;

const bucketOf = (rate: number): number => {
  const found = rateBounds.findIndex((bound) => rate <= bound);
  return found < 0 ? rateBounds.length : found;
};

const clampShare = (share: number): number => Math.min(1, Math.max(0, share));

/** Makes a confidence that has learned nothing. */
export const createHomeConfidence = (): HomeConfidence => {
  const learned = new Map<string, number[]>();

  const bucketsOf = (organisation: string): number[] => {
    const known = learned.get(organisation) ?? [];
    learned.set(organisation, known);
    return known;
  };

  return {
    of: (organisation, rate, knownFor) => {
      const confidence = bucketsOf(organisation)[bucketOf(rate)] ?? firstHomeConfidence;
      return confidence * clampShare((knownFor - homeSettlingFrom) / homeSettling);
    },
    learn: (organisation, rate, held) => {
      const buckets = bucketsOf(organisation);
      const bucket = bucketOf(rate);
      const before = buckets[bucket] ?? firstHomeConfidence;
      buckets[bucket] = before + ((held ? 1 : 0) - before) * homeConfidenceGain;
    },
  };
};
