import type { StoreEpoch } from "../storeEpoch.ts";
import type { StorePosition } from "../StorePosition.ts";
import type { FeedPage } from "./types.ts";

/** @returns The values of a page, without the records that delete a key. */
export const presentValues = <T>({ records }: FeedPage<T>): readonly T[] =>
  records.flatMap(({ value }) => (value === undefined ? [] : [value]));

/** A topic of keyed records in the platform's store; the newest record of a key wins. Methods throw `PlatformError`. */
export abstract class RecordFeed<T> {
  /**
   * Reads the newest record of every key. Changes from the returned position on may be missing from the result. Throws
   * a `PlatformError` with the fault `epoch_ended` if the store was restored from a copy during the read.
   */
  abstract newest(): Promise<FeedPage<T>>;

  /**
   * Reads the records from a position on. Throws a `PlatformError`; its fault is `expired` if records from there on are
   * no longer retained, `beyond_end` if the topic ends before the position, and `epoch_ended` if the position is of an
   * earlier epoch.
   *
   * @param wait - How long the store may wait for a first record (long poll), milliseconds.
   * @param signal - Cancels the wait.
   */
  abstract changes(from: StorePosition, wait: number, signal?: AbortSignal): Promise<FeedPage<T>>;

  /**
   * Writes the newest record of a key.
   *
   * @returns The epoch in which the store accepted the record. In a later epoch the record may be lost.
   */
  abstract put(key: string, value: T): Promise<StoreEpoch>;

  /** Deletes a key. */
  abstract drop(key: string): Promise<void>;
}
