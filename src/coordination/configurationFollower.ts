/**
 * Keeps the configuration in force. A few routers of a data centre follow the log; the others learn from them,
 * and read the log themselves only while nobody else does.
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

const pageSize = 100;

/** How often a router that does not read looks whether it should, milliseconds. */
const turnInterval = 250;

/**
 * - `follow`: this router waits at the log's end for what is new.
 * - `look`: nobody else is known to read, so it looks once in a while.
 * - `learn`: others read and tell it.
 */
export type LogReadMode = "follow" | "look" | "learn";

/** What a follower works with. Times are milliseconds. */
export interface ConfigurationFollowerDependencies {
  readonly log: LogService;
  readonly history: ConfigurationHistory;
  /** Longest wait of one read for something new. */
  readonly longPoll: number;
  readonly retryInterval: number;
  /** Between reads of a router that only looks; a random part is added so that a herd spreads. */
  readonly pollInterval?: number;
  /** Whose turn it is; without it this router follows. */
  readonly readMode?: () => LogReadMode;
  readonly clock?: Clock;
  /** Told when the log gave a version that was not in force here. */
  readonly onVersion?: () => void;
}

/** Runs until it is disposed. */
export interface ConfigurationFollower extends AsyncDisposable {
  /** The configuration in force, if there is any yet. */
  readonly current: () => ConfigurationIndex | undefined;
  /** Resolves after the log has been read to its end, or a read has failed, for the first time. */
  readonly started: Promise<void>;
  /** When the log was last read, milliseconds on the monotonic clock. */
  readonly logReadAt: () => number | undefined;
}

const writeLog = createLogger("configuration");

const defaultLookInterval = 1_500;
const longestLookInterval = 6_000;

/** Starts a follower. */
export const startConfigurationFollower = (
  parts: ConfigurationFollowerDependencies,
): ConfigurationFollower => {
  const { log, history, clock = systemClock, pollInterval: lookInterval = defaultLookInterval } = parts;
  const turn = parts.readMode ?? ((): LogReadMode => "follow");
  const stop = new AbortController();
  let index: ConfigurationIndex | undefined;
  let logReadAt: number | undefined;
  let reachable: boolean | undefined;

  const current = (): ConfigurationIndex | undefined => {
    const inForce = history.current();
    if (inForce !== undefined && index?.version !== inForce.version) {
      index = createConfigurationIndex(inForce.version, inForce.configuration);
    }
    return index;
  };

  const noteReachable = (now: boolean): void => {
    if (reachable === now) return;
    reachable = now;
    writeLog(now ? "log_reachable" : "log_unreachable");
  };

  /** @returns True if something was read. */
  const readOnce = async (wait: number): Promise<boolean> => {
    const from = history.readTo();
    const before = history.current()?.version;
    const page = await log.read(logStreams.configuration, from, pageSize, wait);
    logReadAt = clock.monotonic();
    noteReachable(true);
    for (const fate of history.applyPage(from, page)) {
      writeLog("record", { offset: fate.offset, fate: fate.kind });
    }
    if (history.current()?.version !== before) parts.onVersion?.();
    return page.records.length > 0;
  };

  /** @returns False if the log can't be reached. */
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
      await readOnce(parts.longPoll);
    } catch {
      noteReachable(false);
      await pause(parts.retryInterval);
    }
  };

  /** Looks, and waits longer each time in vain. @returns Looks in vain so far. */
  const look = async (inVain: number): Promise<number> => {
    const interval = Math.min(longestLookInterval, lookInterval * 2 ** inVain);
    await pause(interval * Math.random());
    if (stop.signal.aborted || turn() !== "look") return 0;
    const read = await readToEnd();
    await pause(interval / 2);
    return read ? 0 : Math.min(inVain + 1, 10);
  };

  const started = readToEnd();
  const run = async (): Promise<void> => {
    await started;
    let inVain = 0;
    while (!stop.signal.aborted) {
      const now = turn();
      if (now === "follow") await follow();
      else if (now === "look") inVain = await look(inVain);
      else await pause(turnInterval);
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
