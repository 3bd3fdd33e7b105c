/**
 * One lease, kept up by one task: contends while this router is a candidate, renews while it holds.
 *
 * A tenure counts from before its record was sent, on this process's monotonic clock, and ends a safety share
 * early. A contender waits for the full duration from when it read the last record. So the tenure is over by
 * the time another can begin, however long either process was paused.
 */
import { randomUUID } from "node:crypto";
import { logStreams } from "../../protocol/constants.ts";
import type { LogService } from "../../protocol/LogService.ts";
import { metricNames } from "../../state/constants.ts";
import { createLogger } from "../../state/log.ts";
import type { Metrics } from "../../state/Metrics.ts";
import { pause } from "../clock.ts";
import type { Clock } from "../clock.ts";
import { leasePageSize, pollShare, renewalShare, safetyShare } from "./constants.ts";
import type { LeaseHistory } from "./leaseHistory.ts";
import { encodeLeaseRecord } from "./leaseRecord.ts";
import type { LeaseRecord } from "./leaseRecord.ts";
import type { LeaseView, Tenure } from "./types.ts";

/** What a lease works with. */
export interface LeaseParts {
  readonly name: string;
  /** Tells this process from every other, and from this VM's earlier processes. */
  readonly holder: string;
  readonly log: LogService;
  /** May be shared by the leases of one process. */
  readonly history: LeaseHistory;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Milliseconds of a tenure without renewal. */
  readonly duration: () => number;
  /** Whether this router should try to get the lease; a holder keeps it all the same. */
  readonly isCandidate: () => boolean;
}

/** A lease that is sought or held until it is disposed of. */
export interface Lease extends AsyncDisposable {
  readonly name: string;
  /** The tenure, if there is one at this moment. */
  readonly tenure: () => Tenure | undefined;
  readonly view: () => LeaseView;
}

interface Held {
  readonly fencingNumber: number;
  readonly beganAt: number;
  validUntil: number;
  renewAt: number;
}

interface SentAppend {
  readonly at: number;
  readonly duration: number;
}

const writeLog = createLogger("leases");

/** Starts to seek a lease. */
export const startLease = (parts: LeaseParts): Lease => {
  const { name, holder, log, history, clock, metrics } = parts;
  const stop = new AbortController();
  /** Own appends, whatever became of them, by their ids. */
  const sent = new Map<string, SentAppend>();
  let held: Held | undefined;

  const isCurrent = (): boolean => held !== undefined && clock.monotonic() < held.validUntil;

  const forget = (reason: string): void => {
    if (held === undefined) return;
    writeLog("lost", { lease: name, fencingNumber: held.fencingNumber, reason });
    metrics.count(metricNames.leaseLosses);
    held = undefined;
  };

  /** Own records that can no longer make a tenure. */
  const dropOldAppends = (): void => {
    const now = clock.monotonic();
    for (const [id, { at, duration }] of sent) {
      if (at + duration < now) sent.delete(id);
    }
  };

  /** Takes what the log says: whether the last valid record is one of ours, and how long it reaches. */
  const follow = (): void => {
    const { head } = history.state(name);
    const own = head?.holder === holder && head.kind !== "release" ? sent.get(head.id) : undefined;
    if (head === undefined || own === undefined) {
      if (held !== undefined && head?.holder !== holder) forget("taken");
      return;
    }
    const validUntil = own.at + own.duration * (1 - safetyShare);
    const renewAt = own.at + own.duration * renewalShare;
    if (held?.fencingNumber === head.fencingNumber) {
      held.validUntil = Math.max(held.validUntil, validUntil);
      held.renewAt = Math.max(held.renewAt, renewAt);
      return;
    }
    if (validUntil <= clock.monotonic()) return;
    held = { fencingNumber: head.fencingNumber, beganAt: clock.monotonic(), validUntil, renewAt };
    writeLog("granted", { lease: name, fencingNumber: head.fencingNumber });
    metrics.count(metricNames.leaseGrants);
  };

  const readToEnd = async (): Promise<void> => {
    for (;;) {
      const from = history.readTo();
      const page = await log.read(logStreams.leases, from, leasePageSize);
      history.applyPage(from, page);
      if (history.readTo() >= page.nextOffset || page.records.length === 0) break;
    }
    follow();
  };

  /** @returns Whether the record has been read, so that its validity is known. */
  const append = async (record: LeaseRecord): Promise<boolean> => {
    if (record.kind !== "release") sent.set(record.id, { at: clock.monotonic(), duration: record.duration });
    metrics.count(metricNames.leaseAppends);
    const data = encodeLeaseRecord(record);
    const [offset] = await log.append(logStreams.leases, [data]);
    // With nothing unread before it, the record needs no read.
    if (offset === history.readTo()) history.apply({ offset, data });
    return offset !== undefined && offset < history.readTo();
  };

  const common = () => ({ lease: name, holder, id: randomUUID(), readTo: history.readTo() });

  /** Appends, and learns from the log what came of it, also where the answer was lost. */
  const appendAndRead = async (record: LeaseRecord): Promise<void> => {
    const isRead = await append(record).catch(() => false);
    if (isRead) follow();
    else await readToEnd();
  };

  const renew = async (tenure: Held): Promise<void> => {
    const duration = parts.duration();
    await appendAndRead({ kind: "renewal", ...common(), duration, grant: tenure.fencingNumber });
  };

  const contend = async (): Promise<void> => {
    await readToEnd();
    if (isCurrent()) return;
    const { freeAt } = history.state(name);
    // Records that expired unread may have granted the lease to somebody just now.
    const lossOver = (history.lostAt() ?? Number.NEGATIVE_INFINITY) + parts.duration();
    if (clock.monotonic() < Math.max(freeAt, lossOver)) return;
    await appendAndRead({ kind: "grant", ...common(), duration: parts.duration() });
  };

  const step = async (): Promise<void> => {
    dropOldAppends();
    follow();
    if (held !== undefined && !isCurrent()) forget("expired");
    if (held === undefined) {
      if (parts.isCandidate()) await contend();
    } else if (clock.monotonic() >= held.renewAt) await renew(held);
  };

  const nextDelay = (): number => {
    const poll = parts.duration() * pollShare;
    const untilFree = history.state(name).freeAt - clock.monotonic();
    return held === undefined && untilFree > 0 ? Math.min(poll, untilFree) : poll;
  };

  const run = async (): Promise<void> => {
    while (!stop.signal.aborted) {
      // The log is out: the tenure goes on until it expires, and the next step tries again.
      await step().catch(() => undefined);
      await pause(clock, nextDelay(), stop.signal);
    }
  };
  const task = run();

  const release = async (): Promise<void> => {
    if (held === undefined || !isCurrent()) return;
    const grant = held.fencingNumber;
    held = undefined;
    await append({ kind: "release", ...common(), grant }).catch(() => undefined);
  };

  const tenure = (): Tenure | undefined => {
    if (held === undefined || !isCurrent()) return undefined;
    const { fencingNumber, beganAt } = held;
    return { fencingNumber, beganAt, isValid: () => held?.fencingNumber === fencingNumber && isCurrent() };
  };

  return {
    name,
    tenure,
    view: () => ({
      lease: name,
      candidate: parts.isCandidate(),
      held: isCurrent(),
      fencingNumber: held?.fencingNumber ?? null,
      lastHolder: history.state(name).head?.holder ?? null,
      remaining: held === undefined ? null : Math.max(0, Math.round(held.validUntil - clock.monotonic())),
    }),
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await task;
      await release();
    },
  };
};
