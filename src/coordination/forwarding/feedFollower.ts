/** Follows a feed of records in one task: first reads the newest record of every key, then changes as they come. */
import type { RecordFeed } from "../../protocol/forwarding/RecordFeed.ts";
import type { FeedPage } from "../../protocol/forwarding/types.ts";
import { PlatformError, requiresReread } from "../../protocol/errors.ts";
import type { EpochSource } from "../../protocol/storeEpoch.ts";
import type { StorePosition } from "../../protocol/StorePosition.ts";
import { laterPosition } from "../../protocol/StorePosition.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import { pause } from "../clock.ts";
import { feedRetryDelays } from "./constants.ts";
import { createHeldReads } from "./heldReads.ts";

const writeLog = createLogger("feeds");

export interface FeedFollowerDependencies<T> {
  readonly name: string;
  readonly feed: RecordFeed<T>;
  readonly epochs: EpochSource;
  readonly clock: Clock;
  /** How long the store may hold a read open (long poll) while there is nothing new, milliseconds. */
  readonly longPollTimeout: () => number;
  /** Factor on the delays after failed reads. */
  readonly retryDelayFactor?: () => number;
  /** Between the end of one read and the next, milliseconds, so that records that come close together share a read. */
  readonly readInterval: () => number;
  /** Delay before everything is read again in a new epoch, milliseconds. */
  readonly rereadDelay?: () => number;
  /** Called with the newest record of every key. */
  readonly replace: (page: FeedPage<T>) => void;
  /** Called with changes; a record may be repeated. */
  readonly apply: (page: FeedPage<T>) => void;
  /**
   * Called when everything that was written in this epoch before a time is known. Times are milliseconds on the
   * monotonic clock.
   *
   * @param knownUntil - That time: when the read was sent, or later if the store held it open.
   * @param askedAt - When the read was sent.
   */
  readonly confirm: (knownUntil: number, askedAt: number) => void;
}

/** Follows a feed until it is disposed of. */
export interface FeedFollower extends AsyncDisposable {
  /** Ends the delay before the next read. */
  readonly readNow: () => void;
  /**
   * Reads once, independently of a long poll that may be open. Records may be applied twice.
   *
   * @returns Whether everything that was written before the call is known now.
   */
  readonly check: () => Promise<boolean>;
  /** @returns Whether the last regular read failed. */
  readonly isFailing: () => boolean;
  /** @returns The position up to which all records are known; `undefined` before the first read of an epoch. */
  readonly position: () => StorePosition | undefined;
}

/** Starts to follow a feed. */
export const followFeed = <T>(dependencies: FeedFollowerDependencies<T>): FeedFollower => {
  const { name, feed, epochs, clock } = dependencies;
  const stop = new AbortController();
  let next: StorePosition | undefined;
  let failures = 0;
  let isUpToDate = false;
  let hasRead = false;
  let wake = new AbortController();
  /** Aborted when the epoch ends, so that a read of the old epoch does not delay those of the new one. */
  let epochEnd = new AbortController();
  let isRereadDue = false;
  const heldReads = createHeldReads(name);

  const isStopped = (): boolean => stop.signal.aborted;

  const readNewest = async (): Promise<StorePosition> => {
    const page = await feed.newest();
    dependencies.replace(page);
    isUpToDate = false;
    return page.next;
  };

  const readChanges = async (from: StorePosition): Promise<StorePosition> => {
    const askedAt = clock.monotonic();
    const wait = isUpToDate ? dependencies.longPollTimeout() : 0;
    const page = await feed.changes(from, wait, epochEnd.signal);
    const answeredAt = clock.monotonic();
    dependencies.apply(page);
    isUpToDate = page.isComplete;
    const isEmpty = !from.isBefore(page.next);
    if (isUpToDate)
      dependencies.confirm(heldReads.knownUntil({ askedAt, answeredAt, wait, isEmpty }), askedAt);
    return page.next;
  };

  /** Reads may complete out of order, also across the end of an epoch: the position never moves back. */
  const advance = (to: StorePosition): void => {
    if (to.epoch < epochs.current()) return;
    next = next === undefined ? to : laterPosition(next, to);
  };

  const noteFault = (error: unknown): void => {
    if (error instanceof PlatformError && error.fault === "beyond_end") {
      writeLog("beyond_end", { feed: name, reason: error.message });
    }
    if (requiresReread(error)) next = undefined;
  };

  const noteFailure = (error: unknown): void => {
    failures += 1;
    isUpToDate = false;
    noteFault(error);
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
    return delay * (0.5 + Math.random() / 2) * (dependencies.retryDelayFactor?.() ?? 1);
  };

  const step = async (): Promise<void> => {
    const { signal } = epochEnd;
    try {
      advance(next === undefined ? await readNewest() : await readChanges(next));
      noteSuccess();
    } catch (error) {
      if (!isStopped() && !signal.aborted) noteFailure(error);
    }
  };

  const waitForReread = async (): Promise<void> => {
    isRereadDue = false;
    const delay = dependencies.rereadDelay?.() ?? 0;
    if (delay > 0) await pause(clock, delay, stop.signal);
  };

  const waitForNext = async (): Promise<void> => {
    wake = new AbortController();
    if (isStopped()) wake.abort();
    const delay = failures > 0 ? retryDelay() : dependencies.readInterval();
    if (delay > 0) await pause(clock, delay, wake.signal);
  };

  const run = async (): Promise<void> => {
    while (!isStopped()) {
      if (isRereadDue) await waitForReread();
      await step();
      if (!isRereadDue && (failures > 0 || isUpToDate)) await waitForNext();
    }
  };
  const task = run();

  epochs.subscribe(() => {
    next = undefined;
    isUpToDate = false;
    isRereadDue = true;
    epochEnd.abort();
    epochEnd = new AbortController();
    wake.abort();
  });

  const check = async (): Promise<boolean> => {
    if (!hasRead) return false;
    const askedAt = clock.monotonic();
    try {
      // Not left to the task: its open long poll may last long, from an offset that the store no longer keeps.
      if (next === undefined) advance(await readNewest());
      if (next === undefined) return false;
      const page = await feed.changes(next, 0);
      if (isStopped() || page.next.epoch < epochs.current()) return false;
      dependencies.apply(page);
      advance(page.next);
      if (page.isComplete) dependencies.confirm(askedAt, askedAt);
      return page.isComplete;
    } catch (error) {
      writeLog("check_failed", { feed: name, reason: String(error) });
      noteFault(error);
      return false;
    }
  };

  return {
    check,
    isFailing: () => failures > 0,
    position: () => next,
    readNow: () => wake.abort(),
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      epochEnd.abort();
      wake.abort();
      await task;
    },
  };
};
