/** Which part of the work that engines have not computed yet goes before work of a priority. */

/** Learned from this router's own work, which is taken to be like the others'. */
export interface PriorityMix {
  readonly note: (priority: number, uncachedTokens: number) => void;
  /** @returns 0 to 1. */
  readonly aheadShare: (priority: number) => number;
}

/** Part of what is known that one more piece of work leaves in force. */
const memory = 0.995;

/** Makes a mix that knows nothing: until told otherwise, all goes before. */
export const createPriorityMix = (): PriorityMix => {
  const tokens = new Map<number, number>();
  return {
    note: (priority, uncachedTokens) => {
      for (const [known, sum] of tokens) tokens.set(known, sum * memory);
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
