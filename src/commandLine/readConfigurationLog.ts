/** Reads the configuration stream as routers do. */
import { setTimeout as sleep } from "node:timers/promises";
import { logStreams } from "../protocol/constants.ts";
import type { LogService } from "../protocol/LogService.ts";
import type { LogPage, LogRecord } from "../protocol/types.ts";
import type { ConfigurationOutcome } from "../state/configurationOutcome.ts";
import type { ConfigurationHistory } from "../state/configurationHistory.ts";

const pageSize = 500;

/** How often one page is read before giving up. */
const maxReads = 4;

/** Delay before the second read of a page, doubled for each further read; milliseconds. */
const defaultRetryDelay = 250;

/** Called for each record with its outcome; reading stops when it returns true. */
export type RecordObserver = (record: LogRecord, outcome: ConfigurationOutcome | undefined) => boolean;

const readToEnd = (): boolean => false;

const readPage = async (log: LogService, from: number, retryDelay: number): Promise<LogPage> => {
  for (let reads = 1; ; reads += 1) {
    try {
      return await log.read(logStreams.configuration, from, pageSize);
    } catch (error) {
      if (reads === maxReads) throw error;
      await sleep(retryDelay * 2 ** (reads - 1));
    }
  }
};

/**
 * Reads the stream into a history, from the history's position to the end of the stream.
 *
 * @param retryDelay - Delay before the first retry, milliseconds.
 * @throws `PlatformError` if a page can't be read after several attempts.
 */
export const readConfigurationLog = async (
  log: LogService,
  history: ConfigurationHistory,
  observe: RecordObserver = readToEnd,
  retryDelay = defaultRetryDelay,
): Promise<void> => {
  for (;;) {
    const page = await readPage(log, history.readTo(), retryDelay);
    history.expire(page.earliestOffset);
    for (const record of page.records) {
      const [outcome] = history.applyPage(history.readTo(), { ...page, records: [record] });
      if (observe(record, outcome)) return;
    }
    if (page.records.length === 0 || history.readTo() >= page.nextOffset) return;
  }
};
