/** The newest epoch of the platform's store that any of its answers has named. */
import type { EpochChange, EpochSource, StoreEpoch } from "../protocol/storeEpoch.ts";
import { defaultEpoch } from "../protocol/storeEpoch.ts";
import { createLogger } from "./log.ts";

/** See {@link createStoreEpochs}. */
export interface StoreEpochs extends EpochSource {
  /**
   * Takes the epoch that an answer names, if it names one.
   *
   * @returns The epoch of the answer, which may be older than the current one.
   */
  readonly observe: (named: StoreEpoch | undefined) => StoreEpoch;
}

const writeLog = createLogger("storeEpochs");

/** Creates a tracker that has seen no answer. */
export const createStoreEpochs = (): StoreEpochs => {
  const listeners: ((change: EpochChange) => void)[] = [];
  let current: StoreEpoch | undefined;

  const rise = (to: StoreEpoch): void => {
    const from = current;
    current = to;
    if (from === undefined) return;
    writeLog("epoch_changed", { from, to });
    for (const listener of listeners) listener({ from, to });
  };

  return {
    current: () => current ?? defaultEpoch,
    observe: (named) => {
      const epoch = named ?? current ?? defaultEpoch;
      if (current === undefined || epoch > current) rise(epoch);
      return epoch;
    },
    subscribe: (listener) => {
      listeners.push(listener);
    },
  };
};
