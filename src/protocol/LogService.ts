import type { LogPage } from "./types.ts";

/** The platform's append-only log service. Every method throws `PlatformError`. */
export abstract class LogService {
  /**
   * Appends records to a stream, in order and all or none.
   *
   * @returns The offset of each record.
   */
  abstract append(stream: string, records: readonly string[]): Promise<readonly number[]>;

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
