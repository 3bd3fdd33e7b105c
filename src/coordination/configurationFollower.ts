/** Follows the configuration's log stream and keeps the version in force. */
import { setTimeout as sleep } from "node:timers/promises";
import { logStreams } from "../protocol/constants.ts";
import type { LogService } from "../protocol/LogService.ts";
import type { ConfigurationHistory } from "../state/configurationHistory.ts";
import { createLogger } from "../state/log.ts";
import type { ConfigurationIndex } from "./configurationIndex.ts";
import { createConfigurationIndex } from "./configurationIndex.ts";

const pageSize = 100;

/** What a follower works with. Times are milliseconds. */
export interface ConfigurationFollowerParts {
  readonly log: LogService;
  readonly history: ConfigurationHistory;
  /** Longest wait of one read for something new. */
  readonly longPoll: number;
  readonly retryInterval: number;
}

/** Runs until it is disposed. */
export interface ConfigurationFollower extends AsyncDisposable {
  /** The configuration in force, if there is any yet. */
  readonly current: () => ConfigurationIndex | undefined;
  /** Resolves after the log has been read to its end, or a read has failed, for the first time. */
  readonly started: Promise<void>;
}

const writeLog = createLogger("configuration");

/** Starts a follower. */
export const startConfigurationFollower = (parts: ConfigurationFollowerParts): ConfigurationFollower => {
  const { log, history } = parts;
  const stop = new AbortController();
  let index: ConfigurationIndex | undefined;

  const current = (): ConfigurationIndex | undefined => {
    const inForce = history.current();
    if (inForce !== undefined && index?.version !== inForce.version) {
      index = createConfigurationIndex(inForce.version, inForce.configuration);
    }
    return index;
  };

  /** @returns True if something was read. */
  const readOnce = async (wait: number): Promise<boolean> => {
    const from = history.readTo();
    const page = await log.read(logStreams.configuration, from, pageSize, wait);
    for (const fate of history.applyPage(from, page)) {
      writeLog("record", { offset: fate.offset, fate: fate.kind });
    }
    return page.records.length > 0;
  };

  const readToEnd = async (): Promise<void> => {
    try {
      while (await readOnce(0));
    } catch {
      writeLog("log_unreachable");
    }
  };

  const started = readToEnd();
  const follow = async (): Promise<void> => {
    await started;
    while (!stop.signal.aborted) {
      try {
        await readOnce(parts.longPoll);
      } catch {
        await sleep(parts.retryInterval, undefined, { signal: stop.signal }).catch(() => undefined);
      }
    }
  };
  const task = follow();

  return {
    current,
    started,
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await task;
    },
  };
};
