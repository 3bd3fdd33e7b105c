/** One process's reading and writing of one lease's records. */
import { randomUUID } from "node:crypto";
import { logStreams } from "../../protocol/constants.ts";
import type { LogService } from "../../protocol/LogService.ts";
import { defaultEpoch } from "../../protocol/storeEpoch.ts";
import { metricNames } from "../../state/constants.ts";
import type { Metrics } from "../../state/Metrics.ts";
import type { Clock } from "../clock.ts";
import { leasePageSize } from "./constants.ts";
import type { LeaseHistory } from "./leaseHistory.ts";
import { encodeLeaseRecord } from "./leaseRecord.ts";
import type { LeaseRecord } from "./leaseRecord.ts";
import type { LeaseHead } from "./types.ts";

/** What reading and writing works with. */
export interface LeaseLogDependencies {
  readonly name: string;
  /** Tells this process from every other, and from this VM's earlier processes. */
  readonly holder: string;
  readonly log: LogService;
  /** May be shared by the leases of one process. */
  readonly history: LeaseHistory;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/** An own append. Times are milliseconds, `at` on the monotonic clock. */
export interface SentAppend {
  /** Before it was sent. */
  readonly at: number;
  readonly duration: number;
}

/** The fields of a record that do not depend on its kind. */
export type LeaseRecordBase = Pick<LeaseRecord, "lease" | "holder" | "id" | "readTo" | "epoch">;

/** See {@link createLeaseLog}. */
export interface LeaseLog {
  /** For a record that takes account of all that has been read by now. */
  readonly base: () => LeaseRecordBase;
  readonly readToEnd: () => Promise<void>;
  /** Appends, and learns from the log what came of it, also where the answer was lost. */
  readonly append: (record: LeaseRecord) => Promise<void>;
  readonly head: () => LeaseHead | undefined;
  /** The append that made the last valid record, if it was one of this process's. */
  readonly ownAppend: () => SentAppend | undefined;
}

/** Creates the log side of a lease. */
export const createLeaseLog = (parts: LeaseLogDependencies): LeaseLog => {
  const { name, holder, log, history, clock, metrics } = parts;
  /** Own appends, whatever became of them, by their ids. */
  const sent = new Map<string, SentAppend>();

  /** Forgets own appends that can no longer make a tenure. */
  const dropOldAppends = (): void => {
    const now = clock.monotonic();
    for (const [id, { at, duration }] of sent) {
      if (at + duration < now) sent.delete(id);
    }
  };

  const readToEnd = async (): Promise<void> => {
    for (;;) {
      const from = history.readTo();
      const page = await log.read(logStreams.leases, from, leasePageSize);
      const epoch = history.epoch();
      history.applyPage(from, page);
      if (history.epoch() !== epoch || history.readTo() < from) continue;
      if (history.readTo() >= page.nextOffset || page.records.length === 0) return;
    }
  };

  /** @returns Whether the record has been read, so that its validity is known. */
  const send = async (record: LeaseRecord): Promise<boolean> => {
    dropOldAppends();
    if (record.kind !== "release") sent.set(record.id, { at: clock.monotonic(), duration: record.duration });
    metrics.count(metricNames.leaseAppends);
    const data = encodeLeaseRecord(record);
    const { offsets, epoch } = await log.append(logStreams.leases, [data]);
    const [offset] = offsets;
    // With nothing unread before it, the record needs no read.
    if (offset === history.readTo()) history.apply({ offset, data }, epoch);
    return offset !== undefined && epoch === history.epoch() && offset < history.readTo();
  };

  const head = (): LeaseHead | undefined => history.state(name).head;

  return {
    base: () => ({
      lease: name,
      holder,
      id: randomUUID(),
      readTo: history.readTo(),
      ...(history.epoch() === defaultEpoch ? {} : { epoch: history.epoch() }),
    }),
    readToEnd,
    append: async (record) => {
      const isRead = await send(record).catch(() => false);
      if (!isRead) await readToEnd();
    },
    head,
    ownAppend: () => {
      const last = head();
      if (last?.holder !== holder || last.kind === "release") return undefined;
      return sent.get(last.id);
    },
  };
};
