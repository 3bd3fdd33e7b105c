import type { AppendedRecords, LogPage } from "./types.ts";

/**
 * The platform's append-only log service. Every method throws `PlatformError`.
 *
 * A service whose epoch never changes keeps all that it has acknowledged. One that returns from older copies of itself
 * names a newer epoch in every answer from then on; offsets are to be compared within one epoch only.
 */
export abstract class LogService {
  /**
   * Appends records to a stream, in order and all or none.
   *
   * @returns The offset of each record, and the epoch in which it was given out.
   */
  abstract append(stream: string, records: readonly string[]): Promise<AppendedRecords>;

  /**
   * Reads a stream from an offset on. Offsets no longer kept are skipped: compare `earliestOffset`.
   *
   * @param limit - Most records to return.
   * @param waitMilliseconds - How long the service may wait for a first record where there is none yet;
   * without it the answer comes at once.
   */
  abstract read(
    stream: string,
    fromOffset: number,
    limit: number,
    waitMilliseconds?: number,
  ): Promise<LogPage>;
}
