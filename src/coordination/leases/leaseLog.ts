/** Reads and appends one lease's records for one process. */
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

export interface LeaseLogDependencies {
  readonly name: string;
  /** Identifies this process, as distinct from all others and from earlier ones of this VM. */
  readonly holder: string;
  readonly log: LogService;
  /** May be shared by the leases of one process. */
  readonly history: LeaseHistory;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/** An append of this process. Times are milliseconds, `at` on the monotonic clock. */
export interface SentAppend {
  /** Taken before the append was sent. */
  readonly at: number;
  readonly duration: number;
}

/** The fields of a record that do not depend on its kind. */
export type LeaseRecordBase = Pick<LeaseRecord, "lease" | "holder" | "id" | "readTo" | "epoch">;

/** The records of one lease, as this process reads and appends them. */
export interface LeaseLog {
  /** The common fields of a new record whose writer has read all that this process has read. */
  readonly base: () => LeaseRecordBase;
  /** Reads the leases stream to its end; rejects if the log can't be read. */
  readonly readToEnd: () => Promise<void>;
  /** Appends a record, and reads its outcome from the log, also if the response was lost. */
  readonly append: (record: LeaseRecord) => Promise<void>;
  /** The last valid record of the lease that has been read. */
  readonly head: () => LeaseHead | undefined;
  /** The append of the last valid record, if it was made by this process and is no release. */
  readonly ownAppend: () => SentAppend | undefined;
}

/** Creates a reader and writer of one lease's records; it reads nothing yet. */
export const createLeaseLog = (dependencies: LeaseLogDependencies): LeaseLog => {
  const { name, holder, log, history, clock, metrics } = dependencies;
  /** Appends of this process, whatever their outcome, by their ids. */
  const sent = new Map<string, SentAppend>();

  /** Drops appends whose duration has passed: they can't make a tenure any more. */
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

  /** @returns Whether the record has been read, so that its validity is known. Rejects if the append fails. */
  const send = async (record: LeaseRecord): Promise<boolean> => {
    dropOldAppends();
    if (record.kind !== "release") sent.set(record.id, { at: clock.monotonic(), duration: record.duration });
    metrics.count(metricNames.leaseAppends);
    const data = encodeLeaseRecord(record);
    const { offsets, epoch } = await log.append(logStreams.leases, [data]);
    const [offset] = offsets;
    // With nothing unread before it, the record can be applied without reading the log.
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
