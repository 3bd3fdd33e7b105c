/**
 * Appends to one claims stream and batches the records of many requests: while one append is in flight, the
 * next batch accumulates. A record may be appended twice if an answer was lost; readers ignore the second one.
 */
import { PlatformError } from "../../protocol/errors.ts";
import type { LogService } from "../../protocol/LogService.ts";
import type { Clock } from "../clock.ts";
import { pause } from "../clock.ts";
import { appendBackoff, maxBatchSize, maxBackgroundRecords, batchingDelay } from "./constants.ts";

/** Result of appending a record. */
export type AppendResult =
  /** `mayBeDuplicated`: the record may also be, or later appear, at another offset. */
  | { readonly kind: "appended"; readonly offset: number; readonly mayBeDuplicated: boolean }
  /** `mayBeAppended`: the record may have been appended, or may still be. */
  | { readonly kind: "given_up"; readonly mayBeAppended: boolean };

/** Appends records to one stream in batches. */
export interface PartitionWriter {
  /**
   * Appends a record immediately, or with the next batch if an append is in flight.
   *
   * @param deadline - When to give up, in milliseconds on the monotonic clock.
   */
  readonly append: (data: string, deadline: number) => Promise<AppendResult>;
  /** Appends a record in the background, together with others, retrying until it succeeds. */
  readonly appendInBackground: (data: string) => void;
  /** Resolves when the queue is empty. */
  readonly flush: () => Promise<void>;
  /** Number of records in the queue. */
  readonly queuedRecords: () => number;
  /** Whether the last append failed for a reason other than the rate limit. */
  readonly isUnavailable: () => boolean;
  /** Stops appending; queued records are lost. */
  readonly stop: () => void;
}

interface QueuedRecord {
  readonly data: string;
  /** A request waits for this record; other records are appended in the background. */
  readonly isUrgent: boolean;
  readonly settle: (result: AppendResult) => void;
  /** An earlier append of this record may have taken effect. */
  mayBeAppended: boolean;
  settled: boolean;
}

const noop = (): void => undefined;

/** Creates a writer. */
export const createPartitionWriter = (log: LogService, stream: string, clock: Clock): PartitionWriter => {
  const stop = new AbortController();
  let urgent: QueuedRecord[] = [];
  let background: QueuedRecord[] = [];
  let inFlight: readonly QueuedRecord[] = [];
  let backOffDelay = 0;
  let isUnavailable = false;
  let running: Promise<void> | undefined;
  let cancelBatchingDelay: (() => void) | undefined;

  const settle = (item: QueuedRecord, result: AppendResult): void => {
    if (item.settled) return;
    item.settled = true;
    item.settle(result);
  };

  const takeBatch = (): readonly QueuedRecord[] => {
    urgent = urgent.filter((item) => !item.settled);
    // While the log service is unavailable, single records probe whether it has recovered.
    const size = isUnavailable ? 1 : maxBatchSize;
    const batch = urgent.splice(0, size);
    return [...batch, ...background.splice(0, size - batch.length)];
  };

  /**
   * Drops the oldest background records. Their claims stay in force, so that retries get `outcome_unknown`, which
   * is safe.
   */
  const dropExcessRecords = (): void => {
    background.splice(0, Math.max(0, background.length - maxBackgroundRecords));
  };

  const requeue = (batch: readonly QueuedRecord[], error: unknown): void => {
    const isPlatformError = error instanceof PlatformError;
    for (const item of batch) item.mayBeAppended ||= !isPlatformError || error.mayHaveTakenEffect;
    urgent = [...batch.filter((item) => item.isUrgent), ...urgent];
    background = [...batch.filter((item) => !item.isUrgent), ...background];
    dropExcessRecords();
    isUnavailable = !isPlatformError || error.fault !== "overloaded";
    const maxDelay = isUnavailable ? appendBackoff.maxWhileUnavailable : appendBackoff.maxWhileRateLimited;
    backOffDelay = Math.min(maxDelay, Math.max(appendBackoff.initial, backOffDelay * 2));
  };

  const appendBatch = async (batch: readonly QueuedRecord[]): Promise<void> => {
    inFlight = batch;
    try {
      const records = batch.map((item) => item.data);
      const { offsets } = await log.append(stream, records);
      isUnavailable = false;
      backOffDelay = backOffDelay > appendBackoff.initial ? backOffDelay * 0.9 : 0;
      batch.forEach((item, index) =>
        settle(item, { kind: "appended", offset: offsets[index] ?? 0, mayBeDuplicated: item.mayBeAppended }),
      );
    } catch (error) {
      requeue(batch, error);
    }
    inFlight = [];
  };

  const run = async (): Promise<void> => {
    while (!stop.signal.aborted) {
      const batch = takeBatch();
      if (batch.length === 0) return;
      await appendBatch(batch);
      if (backOffDelay > 0) await pause(clock, backOffDelay, stop.signal);
    }
  };

  const start = (): void => {
    cancelBatchingDelay?.();
    cancelBatchingDelay = undefined;
    running ??= run().finally(() => {
      running = undefined;
      // Records may have been queued after the last batch was taken.
      if (!stop.signal.aborted && urgent.length + background.length > 0) start();
    });
  };

  const startAfterDelay = (): void => {
    if (running === undefined) cancelBatchingDelay ??= clock.after(batchingDelay, start);
  };

  const append = (data: string, deadline: number): Promise<AppendResult> =>
    new Promise((resolve) => {
      const item: QueuedRecord = {
        data,
        isUrgent: true,
        settle: (result) => {
          cancelTimeout();
          resolve(result);
        },
        mayBeAppended: false,
        settled: false,
      };
      const cancelTimeout = clock.after(deadline - clock.monotonic(), () =>
        settle(item, { kind: "given_up", mayBeAppended: item.mayBeAppended || inFlight.includes(item) }),
      );
      urgent.push(item);
      start();
    });

  const appendInBackground = (data: string): void => {
    background.push({ data, isUrgent: false, settle: noop, mayBeAppended: false, settled: false });
    dropExcessRecords();
    startAfterDelay();
  };

  const flush = async (): Promise<void> => {
    while (!stop.signal.aborted && (running !== undefined || urgent.length + background.length > 0)) {
      start();
      await running;
    }
  };

  return {
    append,
    appendInBackground,
    flush,
    queuedRecords: () => urgent.length + background.length,
    isUnavailable: () => isUnavailable,
    stop: () => stop.abort(),
  };
};
