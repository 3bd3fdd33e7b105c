import type { StoreEpoch } from "../storeEpoch.ts";
import type { StorePosition } from "../StorePosition.ts";
import type { FeedPage } from "./types.ts";

/** @returns The values of records that were not dropped. */
export const presentValues = <T>({ records }: FeedPage<T>): readonly T[] =>
  records.flatMap(({ value }) => (value === undefined ? [] : [value]));

/** Records with keys in the platform's store, of which the newest of each key counts. Methods throw `PlatformError`. */
export abstract class RecordFeed<T> {
  /**
   * Reads the newest record of every key, and the position from which changes may not be in it yet. Throws a
   * `PlatformError` with the fault `epoch_ended` if the store returned from a copy meanwhile.
   */
  abstract newest(): Promise<FeedPage<T>>;

  /**
   * Reads on. Throws a `PlatformError`; its fault is `expired` if records from there on are no longer kept, `beyond_end`
   * if the topic ends before, and `epoch_ended` if the position is of an earlier epoch.
   *
   * @param wait - How long the store may wait for a first record, milliseconds.
   * @param signal - Ends the wait.
   */
  abstract changes(from: StorePosition, wait: number, signal?: AbortSignal): Promise<FeedPage<T>>;

  /**
   * Makes a record the newest of its key.
   *
   * @returns The epoch in which the store took it: in a later one it may be gone.
   */
  abstract put(key: string, value: T): Promise<StoreEpoch>;

  /** Drops a key. */
  abstract drop(key: string): Promise<void>;
}
