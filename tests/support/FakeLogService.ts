/** A log service in memory. A test controls which answers and appends are lost or delayed, and the timestamps. */
import { setImmediate as nextLoopTurn } from "node:timers/promises";
import type { PlatformError } from "../../src/protocol/errors.ts";
import { platformError } from "../../src/protocol/errors.ts";
import { LogService } from "../../src/protocol/LogService.ts";
import type { AppendedRecords, LogPage, LogRecord } from "../../src/protocol/types.ts";
import type { ManualClock } from "../../src/coordination/manualClock.ts";
import { defaultEpoch } from "../../src/protocol/storeEpoch.ts";

/** Turns of the event loop after which every promise that waits for neither the log nor a timer has settled. */
const idleTurnsBeforeAdvance = 3;

const answerLost = (): PlatformError => platformError("no answer", "unreachable", true);
const connectionRefused = (): PlatformError => platformError("cannot connect", "unreachable", false);

/** Streams in memory, with faults. */
export class FakeLogService extends LogService {
  /** Appends and reads fail before they take effect. */
  isDown = false;
  readsFail = false;
  /** The next N appends take effect, but their answers are lost. */
  loseAnswers = 0;
  /** The next N appends are lost without effect and without an answer. */
  loseAppends = 0;
  /** The next N appends take effect only at {@link applyDelayedAppends}, and their answers are lost. */
  delayAppends = 0;
  appends = 0;
  reads = 0;
  /** Calls without an answer so far. */
  pendingCalls = 0;
  /** Added to the wall clock for the timestamps of records, milliseconds. */
  clockOffset = 0;

  private readonly clock: ManualClock;
  private readonly streams = new Map<string, LogRecord[]>();
  private readonly earliest = new Map<string, number>();
  private delayedAppends: (() => void)[] = [];

  constructor(clock: ManualClock) {
    super();
    this.clock = clock;
  }

  override append(stream: string, records: readonly string[]): Promise<AppendedRecords> {
    return this.track(this.appendNow(stream, records));
  }

  override read(stream: string, fromOffset: number, limit: number): Promise<LogPage> {
    return this.track(this.readNow(stream, fromOffset, limit));
  }

  private async track<T>(call: Promise<T>): Promise<T> {
    this.pendingCalls += 1;
    try {
      return await call;
    } finally {
      this.pendingCalls -= 1;
    }
  }

  private async appendNow(stream: string, records: readonly string[]): Promise<AppendedRecords> {
    await nextLoopTurn();
    if (this.isDown) throw connectionRefused();
    this.appends += 1;
    const apply = (): readonly number[] => this.appendRecords(stream, records);
    if (this.loseAppends-- > 0) throw answerLost();
    if (this.delayAppends-- > 0) {
      this.delayedAppends.push(apply);
      throw answerLost();
    }
    const offsets = apply();
    await nextLoopTurn();
    if (this.loseAnswers-- > 0) throw answerLost();
    return { offsets, epoch: defaultEpoch };
  }

  private async readNow(stream: string, fromOffset: number, limit: number): Promise<LogPage> {
    await nextLoopTurn();
    if (this.isDown || this.readsFail) throw connectionRefused();
    this.reads += 1;
    const records = this.streams.get(stream) ?? [];
    const earliestOffset = this.earliest.get(stream) ?? 0;
    const from = Math.max(fromOffset, earliestOffset);
    return {
      records: records.slice(from, from + limit),
      earliestOffset,
      nextOffset: records.length,
      epoch: defaultEpoch,
    };
  }

  /** Applies the appends that were delayed. */
  applyDelayedAppends(): void {
    const due = this.delayedAppends;
    this.delayedAppends = [];
    for (const apply of due) apply();
  }

  /** Expires all records that were appended before a time. */
  expire(before: number): void {
    for (const [stream, records] of this.streams) {
      const firstKept = records.findIndex(({ appendedAt }) => appendedAt >= before);
      this.earliest.set(stream, firstKept === -1 ? records.length : firstKept);
    }
  }

  records(): readonly LogRecord[] {
    return [...this.streams.values()].flat();
  }

  private appendRecords(stream: string, data: readonly string[]): readonly number[] {
    const records = this.streams.get(stream) ?? [];
    this.streams.set(stream, records);
    const appendedAt = this.clock.wall() + this.clockOffset;
    const offsets = data.map((_, index) => records.length + index);
    data.forEach((item, index) => records.push({ offset: offsets[index] ?? 0, appendedAt, data: item }));
    return offsets;
  }
}

/**
 * Advances a clock to its next timer whenever no call is pending and all promises have settled. So waits take no real
 * time and every run is deterministic.
 *
 * @returns Stops driving the clock when disposed.
 */
export const driveClock = (clock: ManualClock, log: FakeLogService): AsyncDisposable => {
  let stopped = false;
  const drive = async (): Promise<void> => {
    let idleTurns = 0;
    while (!stopped) {
      await nextLoopTurn();
      idleTurns = log.pendingCalls > 0 ? 0 : idleTurns + 1;
      const next = clock.nextTimer();
      if (idleTurns < idleTurnsBeforeAdvance || next === undefined) continue;
      clock.advanceTo(next);
      idleTurns = 0;
    }
  };
  const driven = drive();
  return {
    [Symbol.asyncDispose]: () => {
      stopped = true;
      return driven;
    },
  };
};
