/**
 * The epoch of the platform's store. It increases by one each time the store is restored from an older copy: records
 * that it had acknowledged may then be lost, and their offsets may be assigned again.
 */
export type StoreEpoch = number;

/** The epoch of a store whose answers contain none. */
export const defaultEpoch: StoreEpoch = 0;

/** An increase of the store's epoch. */
export interface EpochChange {
  readonly from: StoreEpoch;
  readonly to: StoreEpoch;
}

/** The newest epoch that the store's answers have contained. */
export interface EpochSource {
  readonly current: () => StoreEpoch;
  /** Calls the listener after each increase. */
  readonly subscribe: (listener: (change: EpochChange) => void) => void;
}

/** The source for a store without epochs. */
export const noEpochChanges: EpochSource = { current: () => defaultEpoch, subscribe: () => undefined };
