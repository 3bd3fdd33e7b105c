/**
 * History of this router's requests in flight at an engine, by which a late load report is split into this router's
 * part and that of the others.
 */

/** This router's requests at an engine at one point in time. */
export interface InFlight {
  readonly running: number;
  readonly pendingTokens: number;
}

/** A bounded number of the latest changes. */
export interface InFlightHistory {
  /** @param at - Time of the change; not before the last recorded one. */
  readonly record: (at: number, running: number, pendingTokens: number) => void;
  /** @returns What was in flight at a time; for times before the history, its oldest entry if entries were dropped. */
  readonly at: (time: number) => InFlight;
}

const maximumChanges = 64;

export const createInFlightHistory = (): InFlightHistory => {
  const changes: (InFlight & { readonly at: number })[] = [];
  let next = 0;

  return {
    record: (at, running, pendingTokens) => {
      changes[next % maximumChanges] = { at, running, pendingTokens };
      next += 1;
    },
    at: (time) => {
      const oldest = Math.max(0, next - maximumChanges);
      for (let index = next - 1; index >= oldest; index -= 1) {
        const change = changes[index % maximumChanges];
        if (change !== undefined && change.at <= time) return change;
      }
      const first = changes[oldest % maximumChanges];
      return oldest > 0 && first !== undefined ? first : { running: 0, pendingTokens: 0 };
    },
  };
};
