/** The platform's log service in simulated time, with latency and a limit on the append rate. */
import type { Clock } from "../../src/coordination/clock.ts";
import { pause } from "../../src/coordination/clock.ts";
import { platformError } from "../../src/protocol/errors.ts";
import { LogService } from "../../src/protocol/LogService.ts";
import { defaultEpoch } from "../../src/protocol/storeEpoch.ts";
import type { AppendedRecords, LogPage, LogRecord } from "../../src/protocol/types.ts";

/** Approximate bytes of a record on the wire in addition to its data. */
const recordOverhead = 45;

/** Behaviour of the simulated service; latencies in milliseconds. */
export interface SimulatedLogSettings {
  readonly appendLatency: number;
  readonly readLatency: number;
  /** Limit on append requests over all streams and callers. */
  readonly appendsPerSecond: number;
}

/** An in-memory log service that counts requests and bytes. */
export class SimulatedLog extends LogService {
  appends = 0;
  refused = 0;
  reads = 0;
  bytesAppended = 0;
  bytesRead = 0;

  private readonly clock: Clock;
  private readonly settings: SimulatedLogSettings;
  private readonly streams = new Map<string, LogRecord[]>();
  private tokens: number;
  private refilledAt = 0;

  constructor(clock: Clock, settings: SimulatedLogSettings) {
    super();
    this.clock = clock;
    this.settings = settings;
    this.tokens = settings.appendsPerSecond;
    this.refilledAt = clock.monotonic();
  }

  override async append(stream: string, data: readonly string[]): Promise<AppendedRecords> {
    await pause(this.clock, this.settings.appendLatency);
    if (!this.takeToken()) {
      this.refused += 1;
      throw platformError("over the rate", "overloaded", false);
    }
    this.appends += 1;
    const records = this.streams.get(stream) ?? [];
    this.streams.set(stream, records);
    const offsets = data.map((item) => {
      const offset = records.length;
      this.bytesAppended += item.length + recordOverhead;
      records.push({ offset, appendedAt: this.clock.wall(), data: item });
      return offset;
    });
    return { offsets, epoch: defaultEpoch };
  }

  override async read(stream: string, from: number, limit: number): Promise<LogPage> {
    await pause(this.clock, this.settings.readLatency);
    this.reads += 1;
    const stored = this.streams.get(stream) ?? [];
    const records = stored.slice(from, from + limit);
    for (const { data } of records) this.bytesRead += data.length + recordOverhead;
    return { records, earliestOffset: 0, nextOffset: stored.length, epoch: defaultEpoch };
  }

  private takeToken(): boolean {
    const now = this.clock.monotonic();
    const { appendsPerSecond } = this.settings;
    const refill = ((now - this.refilledAt) / 1_000) * appendsPerSecond;
    this.tokens = Math.min(appendsPerSecond, this.tokens + refill);
    this.refilledAt = now;
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
