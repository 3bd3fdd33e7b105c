/** Reads the configuration stream as routers do. */
import { setTimeout as sleep } from "node:timers/promises";
import { logStreams } from "../protocol/constants.ts";
import type { LogService } from "../protocol/LogService.ts";
import type { LogPage, LogRecord } from "../protocol/types.ts";
import type { ConfigurationOutcome } from "../state/configurationOutcome.ts";
import type { ConfigurationHistory } from "../state/configurationHistory.ts";

const pageSize = 500;

/** Reads of one page before giving up. */
const maximumReads = 4;

/** Wait before the second read of a page, doubled for each one more; milliseconds. */
const defaultRetryDelay = 250;

/** Called for each record with its fate; reading stops where it returns true. */
export type RecordObserver = (record: LogRecord, fate: ConfigurationOutcome | undefined) => boolean;

const readOn = (): boolean => false;

const readPage = async (log: LogService, from: number, retryDelay: number): Promise<LogPage> => {
  for (let reads = 1; ; reads += 1) {
    try {
      return await log.read(logStreams.configuration, from, pageSize);
    } catch (error) {
      if (reads === maximumReads) throw error;
      await sleep(retryDelay * 2 ** (reads - 1));
    }
  }
};

/**
 * Reads the stream from where a history has come to up to the end.
 *
 * @param retryDelay - Milliseconds before the first retry.
 * @throws `PlatformError` if the log does not answer after some retries.
 */
export const readConfigurationLog = async (
  log: LogService,
  history: ConfigurationHistory,
  observe: RecordObserver = readOn,
  retryDelay = defaultRetryDelay,
): Promise<void> => {
  for (;;) {
    const page = await readPage(log, history.readTo(), retryDelay);
    history.expire(page.earliestOffset);
    for (const record of page.records) {
      const [fate] = history.applyPage(history.readTo(), { ...page, records: [record] });
      if (observe(record, fate)) return;
    }
    if (page.records.length === 0 || history.readTo() >= page.nextOffset) return;
  }
};
