import type { AppendedRecords, LogPage } from "./types.ts";

/**
 * The platform's append-only log service. Every method throws `PlatformError`.
 *
 * While its epoch stays the same, the service loses no record that it has acknowledged. After it has been restored
 * from an older copy, every answer contains a higher epoch. Offsets can be compared only within one epoch.
 */
export abstract class LogService {
  /**
   * Appends records to a stream in order and atomically.
   *
   * @returns The offset of each record, and the epoch in which the offsets were assigned.
   */
  abstract append(stream: string, records: readonly string[]): Promise<AppendedRecords>;

  /**
   * Reads a stream from an offset. Records that have expired are skipped, which the page's `earliestOffset` shows.
   *
   * @param limit - Maximum number of records to return.
   * @param waitMilliseconds - How long the service may wait for the first record if there is none yet (long poll);
   * it answers at once if this is absent.
   */
  abstract read(
    stream: string,
    fromOffset: number,
    limit: number,
    waitMilliseconds?: number,
  ): Promise<LogPage>;
}
