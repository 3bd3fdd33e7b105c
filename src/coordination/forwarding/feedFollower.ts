/** One task that keeps up with a feed: the newest record of every key first, then changes as they come. */
import type { RecordFeed } from "../../protocol/forwarding/RecordFeed.ts";
import type { FeedPage } from "../../protocol/forwarding/types.ts";
import { PlatformError } from "../../protocol/errors.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import { pause } from "../clock.ts";
import { feedRetryDelays } from "./constants.ts";

const writeLog = createLogger("feeds");

/** What following works with. */
export interface FeedFollowerParts<T> {
  readonly name: string;
  readonly feed: RecordFeed<T>;
  readonly clock: Clock;
  /** How long the store may hold a read back while there is nothing new, milliseconds. */
  readonly wait: () => number;
  /** Between the end of one read and the next, milliseconds: records that come close together share a read. */
  readonly pace: () => number;
  /** Takes everything that there is: keys that are not among the records were dropped. */
  readonly replace: (page: FeedPage<T>) => void;
  readonly apply: (page: FeedPage<T>) => void;
  /**
   * Everything written before a moment is known.
   *
   * @param askedAt - That moment: when the read was sent, milliseconds on the monotonic clock.
   */
  readonly confirm: (askedAt: number) => void;
}

/** Follows until it is disposed of. */
export interface FeedFollower extends AsyncDisposable {
  /** Reads on without waiting for the pace. */
  readonly hurry: () => void;
}

/** Starts to follow a feed. */
export const followFeed = <T>(parts: FeedFollowerParts<T>): FeedFollower => {
  const { name, feed, clock } = parts;
  const stop = new AbortController();
  let nextOffset: number | undefined;
  let failures = 0;
  let isUpToDate = false;
  let wake = new AbortController();

  const readNewest = async (): Promise<number> => {
    const page = await feed.newest();
    parts.replace(page);
    isUpToDate = false;
    return page.nextOffset;
  };

  const readChanges = async (from: number): Promise<number> => {
    const askedAt = clock.monotonic();
    const page = await feed.changes(from, isUpToDate ? parts.wait() : 0);
    parts.apply(page);
    isUpToDate = page.isComplete;
    if (isUpToDate) parts.confirm(askedAt);
    return page.nextOffset;
  };

  const noteFailure = (error: unknown): void => {
    failures += 1;
    isUpToDate = false;
    // Records that were trimmed before they were read: only the newest of each key are to be had.
    if (error instanceof PlatformError && error.fault === "expired") nextOffset = undefined;
    if (failures === 1) writeLog("lost", { feed: name, reason: String(error) });
  };

  const noteSuccess = (): void => {
    if (failures > 0) writeLog("regained", { feed: name, failures });
    failures = 0;
  };

  const retryDelay = (): number => {
    const { first, longest } = feedRetryDelays;
    const delay = Math.min(longest, first * 2 ** (failures - 1));
    return delay * (0.5 + Math.random() / 2);
  };

  const step = async (): Promise<void> => {
    try {
      nextOffset = nextOffset === undefined ? await readNewest() : await readChanges(nextOffset);
      noteSuccess();
    } catch (error) {
      if (!stop.signal.aborted) noteFailure(error);
    }
  };

  const isStopped = (): boolean => stop.signal.aborted;

  const run = async (): Promise<void> => {
    while (!isStopped()) {
      await step();
      if (failures === 0 && !isUpToDate) continue;
      wake = new AbortController();
      if (isStopped()) wake.abort();
      const delay = failures > 0 ? retryDelay() : parts.pace();
      if (delay > 0) await pause(clock, delay, wake.signal);
    }
  };
  const task = run();

  return {
    hurry: () => wake.abort(),
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      wake.abort();
      await task;
    },
  };
};
