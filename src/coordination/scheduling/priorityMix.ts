/** Estimates which share of the prompt tokens that engines have not computed yet goes before a given priority. */

/** Distribution of uncomputed tokens over priorities; this router's work is assumed to be like that of the others. */
export interface PriorityMix {
  readonly record: (priority: number, uncachedTokens: number) => void;
  /** @returns Share of the tokens with this priority or a higher one, 0 to 1. */
  readonly aheadShare: (priority: number) => number;
}

/** Factor by which each new request reduces the weight of the earlier ones. */
const decayFactor = 0.995;

/** Creates an empty mix; until work is recorded, all tokens count as going before. */
export const createPriorityMix = (): PriorityMix => {
  const tokens = new Map<number, number>();
  return {
    record: (priority, uncachedTokens) => {
      for (const [known, sum] of tokens) tokens.set(known, sum * decayFactor);
      tokens.set(priority, (tokens.get(priority) ?? 0) + uncachedTokens);
    },
    aheadShare: (priority) => {
      let ahead = 0;
      let all = 0;
      for (const [known, sum] of tokens) {
        all += sum;
        if (known <= priority) ahead += sum;
      }
      return all === 0 ? 1 : ahead / all;
    },
  };
};
