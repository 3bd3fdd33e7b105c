/** A number of places that are taken in the order of asking. */

/** A place, or none. */
export interface Slot extends AsyncDisposable {
  /** False if the signal aborted before there was one. */
  readonly isTaken: boolean;
}

/** See {@link createSlots}. */
export interface Slots {
  readonly taken: () => number;
  /** Waits for a place. @returns The place; disposing of it gives it back. */
  readonly take: (signal: AbortSignal) => Promise<Slot>;
}

/** @param count - How many places there are; it may change at any time. */
export const createSlots = (count: () => number): Slots => {
  const waiting: (() => void)[] = [];
  let taken = 0;

  const giveBack = (): void => {
    taken -= 1;
    while (taken < count()) {
      const next = waiting.shift();
      if (next === undefined) return;
      taken += 1;
      next();
    }
  };

  const slot = (): Slot => ({
    isTaken: true,
    [Symbol.asyncDispose]: () => {
      giveBack();
      return Promise.resolve();
    },
  });

  const none: Slot = { isTaken: false, [Symbol.asyncDispose]: () => Promise.resolve() };

  return {
    taken: () => taken,
    take: async (signal) => {
      if (signal.aborted) return none;
      if (taken < count()) {
        taken += 1;
        return slot();
      }
      return new Promise((resolve) => {
        const begin = (): void => {
          signal.removeEventListener("abort", leave);
          resolve(slot());
        };
        const leave = (): void => {
          const index = waiting.indexOf(begin);
          if (index < 0) return;
          waiting.splice(index, 1);
          resolve(none);
        };
        waiting.push(begin);
        signal.addEventListener("abort", leave, { once: true });
      });
    },
  };
};
