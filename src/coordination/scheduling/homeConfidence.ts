/**
 * How likely a prefix's home holds it although this router has not sent it there: others have, if it is shared by
 * all. Learned from answers, apart for prefixes that this router has met and for those that it has not.
 */
import { firstHomeConfidence, homeConfidenceGain, homeSettling, homeSettlingFrom } from "./constants.ts";

/** Confidence in homes. */
export interface HomeConfidence {
  /**
   * @param seen - This router has met the prefix before.
   * @param knownFor - Milliseconds since the engine's present incarnation and weights are known.
   * @returns 0 to 1.
   */
  readonly of: (seen: boolean, knownFor: number) => number;
  readonly learn: (seen: boolean, held: boolean) => void;
}

const clampShare = (share: number): number => Math.min(1, Math.max(0, share));

/** Makes a confidence that has learned nothing. */
export const createHomeConfidence = (): HomeConfidence => {
  const learned = { met: firstHomeConfidence, unmet: firstHomeConfidence };
  const kind = (seen: boolean): keyof typeof learned => (seen ? "met" : "unmet");
  return {
    of: (seen, knownFor) => learned[kind(seen)] * clampShare((knownFor - homeSettlingFrom) / homeSettling),
    learn: (seen, held) => {
      learned[kind(seen)] += ((held ? 1 : 0) - learned[kind(seen)]) * homeConfidenceGain;
    },
  };
};
