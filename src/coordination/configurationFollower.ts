/**
 * Keeps the current configuration up to date. A few routers of a data centre follow the log; the others receive the
 * configuration from them, and read the log themselves only while no other router does.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { logStreams } from "../protocol/constants.ts";
import type { LogService } from "../protocol/LogService.ts";
import type { ConfigurationHistory } from "../state/configurationHistory.ts";
import { createLogger } from "../state/log.ts";
import type { Clock } from "./clock.ts";
import { systemClock } from "./clock.ts";
import type { ConfigurationIndex } from "./configurationIndex.ts";
import { createConfigurationIndex } from "./configurationIndex.ts";

/** Maximum number of records in one read. */
const pageSize = 100;

/** Interval at which a router that does not read the log checks its read mode, in milliseconds. */
const readModeInterval = 250;

/**
 * How this router reads the configuration log:
 *
 * - `follow`: waits for new records at the end of the log.
 * - `look`: polls the log occasionally, because no other router is known to read it.
 * - `learn`: does not read the log; other routers read it and send the configuration.
 */
export type LogReadMode = "follow" | "look" | "learn";

/** Times are in milliseconds. */
export interface ConfigurationFollowerDependencies {
  readonly log: LogService;
  readonly history: ConfigurationHistory;
  /** Longest time that one read waits for new records. */
  readonly longPoll: number;
  readonly retryInterval: number;
  /** Interval between reads in mode `look`; a random delay spreads the reads of many routers. */
  readonly pollInterval?: number;
  /** Current read mode; `follow` if omitted. */
  readonly readMode?: () => LogReadMode;
  readonly clock?: Clock;
  /** Called when a read of the log has changed the current version. */
  readonly onVersion?: () => void;
}

/** Follows the configuration until it is disposed. */
export interface ConfigurationFollower extends AsyncDisposable {
  /** The current configuration; undefined until there is one. */
  readonly current: () => ConfigurationIndex | undefined;
  /** Resolves once the log has been read to its end, or a read has failed, for the first time. */
  readonly started: Promise<void>;
  /** When the log was last read, in milliseconds on the monotonic clock. */
  readonly logReadAt: () => number | undefined;
}

const writeLog = createLogger("configuration");

/** Interval between polls in mode `look`, in milliseconds, and its maximum while the log service is unreachable. */
const defaultPollInterval = 1_500;
const maxPollInterval = 6_000;

/** Starts a follower. */
export const startConfigurationFollower = (
  dependencies: ConfigurationFollowerDependencies,
): ConfigurationFollower => {
  const { log, history, clock = systemClock, pollInterval = defaultPollInterval } = dependencies;
  const readMode = dependencies.readMode ?? ((): LogReadMode => "follow");
  const stop = new AbortController();
  let index: ConfigurationIndex | undefined;
  let logReadAt: number | undefined;
  let lastReachable: boolean | undefined;

  const current = (): ConfigurationIndex | undefined => {
    const latest = history.current();
    if (latest !== undefined && index?.version !== latest.version) {
      index = createConfigurationIndex(latest.version, latest.configuration);
    }
    return index;
  };

  const noteReachable = (isReachable: boolean): void => {
    if (lastReachable === isReachable) return;
    lastReachable = isReachable;
    writeLog(isReachable ? "log_reachable" : "log_unreachable");
  };

  /** @returns Whether any record was read. */
  const readOnce = async (wait: number): Promise<boolean> => {
    const from = history.readTo();
    const versionBefore = history.current()?.version;
    const page = await log.read(logStreams.configuration, from, pageSize, wait);
    logReadAt = clock.monotonic();
    noteReachable(true);
    for (const outcome of history.applyPage(from, page)) {
      writeLog("record", { offset: outcome.offset, fate: outcome.kind });
    }
    if (history.current()?.version !== versionBefore) dependencies.onVersion?.();
    return page.records.length > 0;
  };

  /** @returns False if the log service is unreachable. */
  const readToEnd = async (): Promise<boolean> => {
    try {
      while (await readOnce(0));
      return true;
    } catch {
      noteReachable(false);
      return false;
    }
  };

  const pause = (milliseconds: number): Promise<void> =>
    sleep(milliseconds, undefined, { signal: stop.signal }).catch(() => undefined);

  const follow = async (): Promise<void> => {
    try {
      await readOnce(dependencies.longPoll);
    } catch {
      noteReachable(false);
      await pause(dependencies.retryInterval);
    }
  };

  /** Polls the log, and doubles the interval after each failed poll. @returns Number of consecutive failed polls. */
  const poll = async (failedPolls: number): Promise<number> => {
    const interval = Math.min(maxPollInterval, pollInterval * 2 ** failedPolls);
    await pause(interval * Math.random());
    if (stop.signal.aborted || readMode() !== "look") return 0;
    const isReachable = await readToEnd();
    await pause(interval / 2);
    return isReachable ? 0 : Math.min(failedPolls + 1, 10);
  };

  const started = readToEnd();
  const run = async (): Promise<void> => {
    await started;
    let failedPolls = 0;
    while (!stop.signal.aborted) {
      const mode = readMode();
      if (mode === "follow") await follow();
      else if (mode === "look") failedPolls = await poll(failedPolls);
      else await pause(readModeInterval);
    }
  };
  const task = run();

  return {
    current,
    started: started.then(() => undefined),
    logReadAt: () => logReadAt,
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await task;
    },
  };
};
