/** Tracks the newest epoch of the platform's store that any of its responses has named. */
import type { EpochChange, EpochSource, StoreEpoch } from "../protocol/storeEpoch.ts";
import { defaultEpoch } from "../protocol/storeEpoch.ts";
import { createLogger } from "./log.ts";

/** The epochs that responses of the store name. */
export interface StoreEpochs extends EpochSource {
  /**
   * Records the epoch that a response names, if any.
   *
   * @returns The epoch of the response, which may be older than the current one.
   */
  readonly observe: (named: StoreEpoch | undefined) => StoreEpoch;
}

const writeLog = createLogger("storeEpochs");

/** Creates a tracker without an epoch; the first response sets it without a notification. */
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
