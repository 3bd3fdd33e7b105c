/** A log service in memory whose answers, arrivals and clock a test controls. */
import { setImmediate as nextTurn } from "node:timers/promises";
import type { PlatformError } from "../../src/protocol/errors.ts";
import { platformError } from "../../src/protocol/errors.ts";
import { LogService } from "../../src/protocol/LogService.ts";
import type { AppendedRecords, LogPage, LogRecord } from "../../src/protocol/types.ts";
import type { ManualClock } from "../../src/coordination/manualClock.ts";
import { defaultEpoch } from "../../src/protocol/storeEpoch.ts";

/** Enough for every promise that waits for nothing outside to settle. */
const turnsBeforeTimePasses = 3;

const lost = (): PlatformError => platformError("no answer", "unreachable", true);
const refused = (): PlatformError => platformError("cannot connect", "unreachable", false);

/** Streams in memory. */
export class FakeLogService extends LogService {
  /** Appends and reads are refused before they take effect. */
  isDown = false;
  readsFail = false;
  /** The next N appends take effect, but nobody learns of it. */
  loseAnswers = 0;
  /** The next N appends are lost, which nobody learns of. */
  loseAppends = 0;
  /** The next N appends take effect only at {@link applyDelayedAppends}, and nobody learns of it. */
  delayAppends = 0;
  appends = 0;
  reads = 0;
  /** Calls that have not been answered. */
  pendingCalls = 0;
  /** Added to the wall clock. */
  clockOffset = 0;

  private readonly clock: ManualClock;
  private readonly streams = new Map<string, LogRecord[]>();
  private readonly earliest = new Map<string, number>();
  private delayed: (() => void)[] = [];

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
    await nextTurn();
    if (this.isDown) throw refused();
    this.appends += 1;
    const take = (): readonly number[] => this.take(stream, records);
    if (this.loseAppends-- > 0) throw lost();
    if (this.delayAppends-- > 0) {
      this.delayed.push(take);
      throw lost();
    }
    const offsets = take();
    await nextTurn();
    if (this.loseAnswers-- > 0) throw lost();
    return { offsets, epoch: defaultEpoch };
  }

  private async readNow(stream: string, fromOffset: number, limit: number): Promise<LogPage> {
    await nextTurn();
    if (this.isDown || this.readsFail) throw refused();
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

  /** Lets what was delayed take effect. */
  applyDelayedAppends(): void {
    const arriving = this.delayed;
    this.delayed = [];
    for (const take of arriving) take();
  }

  /** Forgets all records older than a time. */
  expire(before: number): void {
    for (const [stream, records] of this.streams) {
      const kept = records.findIndex(({ appendedAt }) => appendedAt >= before);
      this.earliest.set(stream, kept === -1 ? records.length : kept);
    }
  }

  records(): readonly LogRecord[] {
    return [...this.streams.values()].flat();
  }

  private take(stream: string, data: readonly string[]): readonly number[] {
    const records = this.streams.get(stream) ?? [];
    this.streams.set(stream, records);
    const appendedAt = this.clock.wall() + this.clockOffset;
    const offsets = data.map((_, index) => records.length + index);
    data.forEach((item, index) => records.push({ offset: offsets[index] ?? 0, appendedAt, data: item }));
    return offsets;
  }
}

/**
 * Moves a clock on to its next timer whenever nothing else is under way, so that waits take no real time and
 * every run takes the same course.
 *
 * @returns Ends it when disposed.
 */
export const driveClock = (clock: ManualClock, log: FakeLogService): AsyncDisposable => {
  let stopped = false;
  const drive = async (): Promise<void> => {
    let quietTurns = 0;
    while (!stopped) {
      await nextTurn();
      quietTurns = log.pendingCalls > 0 ? 0 : quietTurns + 1;
      const next = clock.nextTimer();
      if (quietTurns < turnsBeforeTimePasses || next === undefined) continue;
      clock.advanceTo(next);
      quietTurns = 0;
    }
  };
  const driving = drive();
  return {
    [Symbol.asyncDispose]: () => {
      stopped = true;
      return driving;
    },
  };
};
