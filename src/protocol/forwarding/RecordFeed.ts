import type { FeedPage } from "./types.ts";

/** Records with keys in the platform's store, of which the newest of each key counts. Methods throw `PlatformError`. */
export abstract class RecordFeed<T> {
  /** @returns The newest record of every key, and the offset from which changes may not be in it yet. */
  abstract newest(): Promise<FeedPage<T>>;

  /**
   * Reads on. Throws a `PlatformError` with the fault `expired` if records from there on are no longer kept.
   *
   * @param wait - How long the store may wait for a first record, milliseconds.
   */
  abstract changes(fromOffset: number, wait: number): Promise<FeedPage<T>>;

  /** Makes a record the newest of its key. */
  abstract put(key: string, value: T): Promise<void>;

  /** Drops a key. */
  abstract drop(key: string): Promise<void>;
}
