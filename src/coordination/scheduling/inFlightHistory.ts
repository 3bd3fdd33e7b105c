/**
 * How much of a router's own work was at an engine at a recent time, so that a late load report can be split
 * into its own part and the others'.
 */

/** Own work at one time. */
export interface InFlight {
  readonly running: number;
  readonly pendingTokens: number;
}

/** The last changes of what is in flight; bounded. */
export interface InFlightHistory {
  /** @param at - Not before the last note. */
  readonly note: (at: number, running: number, pendingTokens: number) => void;
  /** @returns What was in flight at a time; the oldest that is known for times before. */
  readonly at: (time: number) => InFlight;
}

const keptChanges = 64;

/** Makes an empty history. */
export const createInFlightHistory = (): InFlightHistory => {
  const changes: (InFlight & { readonly at: number })[] = [];
  let next = 0;

  return {
    note: (at, running, pendingTokens) => {
      changes[next % keptChanges] = { at, running, pendingTokens };
      next += 1;
    },
    at: (time) => {
      const oldest = Math.max(0, next - keptChanges);
      for (let index = next - 1; index >= oldest; index -= 1) {
        const change = changes[index % keptChanges];
        if (change !== undefined && change.at <= time) return change;
      }
      const first = changes[oldest % keptChanges];
      return oldest > 0 && first !== undefined ? first : { running: 0, pendingTokens: 0 };
    },
  };
};
