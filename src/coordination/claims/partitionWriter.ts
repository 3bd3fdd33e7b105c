/**
 * Appends to one claims stream, many requests' records at once: while one append is in flight the next batch
 * gathers. Records may be appended twice where an answer was lost; the second one means nothing.
 */
import { PlatformError } from "../../protocol/errors.ts";
import type { LogService } from "../../protocol/LogService.ts";
import type { Clock } from "../clock.ts";
import { pause } from "../clock.ts";
import { appendBackoff, maximumBatch, maximumWaitingSettlements, settlementLinger } from "./constants.ts";

/** What became of a record. */
export type AppendResult =
  /** `repeated`: it may also stand, or arrive late, at another offset. */
  | { readonly kind: "appended"; readonly offset: number; readonly repeated: boolean }
  /** `mayArrive`: it may have been appended, or may be still. */
  | { readonly kind: "given_up"; readonly mayArrive: boolean };

/** Appends records. */
export interface PartitionWriter {
  /**
   * Appends a record at once, or with the next batch.
   *
   * @param until - When to give up, milliseconds on the monotonic clock.
   */
  readonly append: (data: string, until: number) => Promise<AppendResult>;
  /** Appends a record with others, some time soon, for as long as it takes. */
  readonly appendLater: (data: string) => void;
  /** Resolves when nothing waits any more. */
  readonly flush: () => Promise<void>;
  readonly waiting: () => number;
  /** The last append failed, and not because of the rate. */
  readonly isDown: () => boolean;
  /** Appends nothing any more. */
  readonly stop: () => void;
}

interface Item {
  readonly data: string;
  /** Somebody waits for it; others are appended in the background. */
  readonly isUrgent: boolean;
  readonly settle: (result: AppendResult) => void;
  /** An append that may have taken effect was made. */
  tried: boolean;
  settled: boolean;
}

const ignore = (): void => undefined;

/** Makes a writer. */
export const createPartitionWriter = (log: LogService, stream: string, clock: Clock): PartitionWriter => {
  const stop = new AbortController();
  let urgent: Item[] = [];
  let later: Item[] = [];
  let inFlight: readonly Item[] = [];
  let pauseLength = 0;
  let isDown = false;
  let running: Promise<void> | undefined;
  let callOffLinger: (() => void) | undefined;

  const settle = (item: Item, result: AppendResult): void => {
    if (item.settled) return;
    item.settled = true;
    item.settle(result);
  };

  const takeBatch = (): readonly Item[] => {
    urgent = urgent.filter((item) => !item.settled);
    // While the service is down one record at a time finds out whether it is back.
    const size = isDown ? 1 : maximumBatch;
    const batch = urgent.splice(0, size);
    return [...batch, ...later.splice(0, size - batch.length)];
  };

  /** Drops the oldest: their claims stand, which errs to the side of `outcome_unknown`. */
  const boundLater = (): void => {
    later.splice(0, Math.max(0, later.length - maximumWaitingSettlements));
  };

  const putBack = (batch: readonly Item[], error: unknown): void => {
    const isPlatformError = error instanceof PlatformError;
    for (const item of batch) item.tried ||= !isPlatformError || error.mayHaveTakenEffect;
    urgent = [...batch.filter((item) => item.isUrgent), ...urgent];
    later = [...batch.filter((item) => !item.isUrgent), ...later];
    boundLater();
    isDown = !isPlatformError || error.fault !== "overloaded";
    const longest = isDown ? appendBackoff.longestWhileDown : appendBackoff.longestOverRate;
    pauseLength = Math.min(longest, Math.max(appendBackoff.first, pauseLength * 2));
  };

  const appendBatch = async (batch: readonly Item[]): Promise<void> => {
    inFlight = batch;
    try {
      const records = batch.map((item) => item.data);
      const { offsets } = await log.append(stream, records);
      isDown = false;
      pauseLength = pauseLength > appendBackoff.first ? pauseLength * 0.9 : 0;
      batch.forEach((item, index) =>
        settle(item, { kind: "appended", offset: offsets[index] ?? 0, repeated: item.tried }),
      );
    } catch (error) {
      putBack(batch, error);
    }
    inFlight = [];
  };

  const run = async (): Promise<void> => {
    while (!stop.signal.aborted) {
      const batch = takeBatch();
      if (batch.length === 0) return;
      await appendBatch(batch);
      if (pauseLength > 0) await pause(clock, pauseLength, stop.signal);
    }
  };

  const start = (): void => {
    callOffLinger?.();
    callOffLinger = undefined;
    running ??= run().finally(() => {
      running = undefined;
      // Something may have come after the last batch was taken.
      if (!stop.signal.aborted && urgent.length + later.length > 0) start();
    });
  };

  const startSoon = (): void => {
    if (running === undefined) callOffLinger ??= clock.after(settlementLinger, start);
  };

  const append = (data: string, until: number): Promise<AppendResult> =>
    new Promise((resolve) => {
      const item: Item = {
        data,
        isUrgent: true,
        settle: (result) => {
          callOff();
          resolve(result);
        },
        tried: false,
        settled: false,
      };
      const callOff = clock.after(until - clock.monotonic(), () =>
        settle(item, { kind: "given_up", mayArrive: item.tried || inFlight.includes(item) }),
      );
      urgent.push(item);
      start();
    });

  const appendLater = (data: string): void => {
    later.push({ data, isUrgent: false, settle: ignore, tried: false, settled: false });
    boundLater();
    startSoon();
  };

  const flush = async (): Promise<void> => {
    while (!stop.signal.aborted && (running !== undefined || urgent.length + later.length > 0)) {
      start();
      await running;
    }
  };

  return {
    append,
    appendLater,
    flush,
    waiting: () => urgent.length + later.length,
    isDown: () => isDown,
    stop: () => stop.abort(),
  };
};
