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
  /** By how much waits after failures grow; where many routers read, an outage would cost as many calls as they make. */
  readonly retryStretch?: () => number;
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
  /**
   * Reads once beside the read that the store may be holding back. Records may be applied twice.
   *
   * @returns Whether everything written before is known now.
   */
  readonly check: () => Promise<boolean>;
  /** @returns The offset up to which all records are known; nothing before the first read. */
  readonly offset: () => number | undefined;
}

/** Starts to follow a feed. */
export const followFeed = <T>(parts: FeedFollowerParts<T>): FeedFollower => {
  const { name, feed, clock } = parts;
  const stop = new AbortController();
  let nextOffset: number | undefined;
  let failures = 0;
  let isUpToDate = false;
  let hasRead = false;
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

  /** Reads may overtake one another: what is known never shrinks. */
  const advance = (to: number): void => {
    nextOffset = Math.max(nextOffset ?? 0, to);
  };

  const noteExpiry = (error: unknown): void => {
    // Records that were trimmed before they were read: only the newest of each key are to be had.
    if (error instanceof PlatformError && error.fault === "expired") nextOffset = undefined;
  };

  const noteFailure = (error: unknown): void => {
    failures += 1;
    isUpToDate = false;
    noteExpiry(error);
    if (failures === 1) writeLog("lost", { feed: name, reason: String(error) });
  };

  const noteSuccess = (): void => {
    hasRead = true;
    if (failures > 0) writeLog("regained", { feed: name, failures });
    failures = 0;
  };

  const retryDelay = (): number => {
    const { first, longest } = feedRetryDelays;
    const delay = Math.min(longest, first * 2 ** (failures - 1));
    return delay * (0.5 + Math.random() / 2) * (parts.retryStretch?.() ?? 1);
  };

  const step = async (): Promise<void> => {
    try {
      advance(nextOffset === undefined ? await readNewest() : await readChanges(nextOffset));
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

  const check = async (): Promise<boolean> => {
    if (!hasRead) return false;
    const askedAt = clock.monotonic();
    try {
      // What was held back may be held for long, from an offset that is kept no longer.
      if (nextOffset === undefined) advance(await readNewest());
      const page = await feed.changes(nextOffset ?? 0, 0);
      if (isStopped()) return false;
      parts.apply(page);
      advance(page.nextOffset);
      if (page.isComplete) parts.confirm(askedAt);
      return page.isComplete;
    } catch (error) {
      writeLog("check_failed", { feed: name, reason: String(error) });
      noteExpiry(error);
      return false;
    }
  };

  return {
    check,
    offset: () => nextOffset,
    hurry: () => wake.abort(),
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      wake.abort();
      await task;
    },
  };
};
