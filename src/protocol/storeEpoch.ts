/**
 * The epoch of the platform's store. It rises by one each time the store returns from an older copy of itself: records
 * that it acknowledged before may be gone, and their offsets may be given out again.
 */
export type StoreEpoch = number;

/** The epoch of a store that names none. */
export const defaultEpoch: StoreEpoch = 0;

/** A rise of the store's epoch. */
export interface EpochChange {
  readonly from: StoreEpoch;
  readonly to: StoreEpoch;
}

/** The newest epoch that any answer of the store has named. */
export interface EpochSource {
  readonly current: () => StoreEpoch;
  /** Calls back after each rise. */
  readonly subscribe: (listener: (change: EpochChange) => void) => void;
}

/** The epochs of a store that has none. */
export const noEpochChanges: EpochSource = { current: () => defaultEpoch, subscribe: () => undefined };
