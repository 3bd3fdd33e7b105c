/**
 * One lease, kept up by one task: contends while this router is a candidate, renews while it holds.
 *
 * A tenure counts from before its record was sent, on this process's monotonic clock, and ends a safety share
 * early. A contender waits for the full duration from when it read the last record. So the tenure is over by
 * the time another can begin, however long either process was paused. A new epoch of the store ends every tenure.
 */
import { metricNames } from "../../state/constants.ts";
import { createLogger } from "../../state/log.ts";
import type { StoreEpoch } from "../../protocol/storeEpoch.ts";
import { defaultEpoch } from "../../protocol/storeEpoch.ts";
import { pause } from "../clock.ts";
import { pollShare, renewalShare, safetyShare } from "./constants.ts";
import { createLeaseLog } from "./leaseLog.ts";
import type { LeaseLogDependencies } from "./leaseLog.ts";
import type { LeaseView, Tenure } from "./types.ts";

/** What a lease works with. */
export interface LeaseDependencies extends LeaseLogDependencies {
  /** Milliseconds of a tenure without renewal. */
  readonly duration: () => number;
  /** Whether this router should try to get the lease; a holder keeps it all the same. */
  readonly isCandidate: () => boolean;
  /** @returns The newest epoch of the store; without it the store has none. */
  readonly epoch?: () => StoreEpoch;
}

/** A lease that is sought or held until it is disposed of. */
export interface Lease extends AsyncDisposable {
  readonly name: string;
  /** The tenure, if there is one at this moment. */
  readonly tenure: () => Tenure | undefined;
  readonly view: () => LeaseView;
}

interface Held {
  readonly epoch: StoreEpoch;
  readonly fencingNumber: number;
  readonly beganAt: number;
  readonly followsRelease: boolean;
  validUntil: number;
  renewAt: number;
  note: readonly string[];
}

const writeLog = createLogger("leases");

const describeHeld = (
  held: Held | undefined,
  now: number,
): Pick<LeaseView, "fencingNumber" | "remaining"> => ({
  fencingNumber: held?.fencingNumber ?? null,
  remaining: held === undefined ? null : Math.max(0, Math.round(held.validUntil - now)),
});

/** @returns Runs works one after another: two renewals at once would make each other void. */
const createSequence = () => {
  let previous: Promise<unknown> = Promise.resolve();
  return <T>(work: () => Promise<T>): Promise<T> => {
    const result = previous.then(work);
    previous = result.catch(() => undefined);
    return result;
  };
};

/** Starts to seek a lease. */
export const startLease = (parts: LeaseDependencies): Lease => {
  const { name, holder, history, clock, metrics } = parts;
  const records = createLeaseLog(parts);
  const stop = new AbortController();
  let held: Held | undefined;
  /** Whether the last record before the last own grant was a release. */
  let followsRelease = false;
  const exclusively = createSequence();

  const currentEpoch = (): StoreEpoch => parts.epoch?.() ?? defaultEpoch;
  const isCurrent = (): boolean => held?.epoch === currentEpoch() && clock.monotonic() < held.validUntil;
  const isHeldAs = (fencingNumber: number): boolean => held?.fencingNumber === fencingNumber && isCurrent();

  const forget = (usualReason: string): void => {
    if (held === undefined) return;
    const reason = held.epoch === currentEpoch() ? usualReason : "epoch ended";
    writeLog("lost", { lease: name, fencingNumber: held.fencingNumber, reason });
    metrics.count(metricNames.leaseLosses);
    held = undefined;
  };

  const begin = (fencingNumber: number, validUntil: number, renewAt: number): void => {
    if (validUntil <= clock.monotonic()) return;
    const note = records.head()?.note ?? [];
    held = {
      epoch: history.epoch(),
      fencingNumber,
      beganAt: clock.monotonic(),
      followsRelease,
      validUntil,
      renewAt,
      note,
    };
    writeLog("granted", { lease: name, fencingNumber });
    metrics.count(metricNames.leaseGrants);
  };

  /** Takes what the log says: whether the last valid record is one of ours, and how long it reaches. */
  const follow = (): void => {
    const head = records.head();
    const own = records.ownAppend();
    if (head === undefined || own === undefined) {
      if (head?.holder !== holder) forget("taken");
      return;
    }
    const validUntil = own.at + own.duration * (1 - safetyShare);
    const renewAt = own.at + own.duration * renewalShare;
    if (held?.fencingNumber === head.fencingNumber) {
      held.validUntil = Math.max(held.validUntil, validUntil);
      held.renewAt = Math.max(held.renewAt, renewAt);
    } else begin(head.fencingNumber, validUntil, renewAt);
  };

  const renew = async ({ fencingNumber: grant, note }: Held): Promise<void> => {
    await records.append({ kind: "renewal", ...records.base(), duration: parts.duration(), note, grant });
    follow();
  };

  const contend = async (): Promise<void> => {
    await records.readToEnd();
    follow();
    if (isCurrent()) return;
    const { freeAt, head } = history.state(name);
    const duration = parts.duration();
    // Records that expired unread may have granted the lease to somebody just now.
    const lossOver = (history.recordsLostAt() ?? Number.NEGATIVE_INFINITY) + duration;
    if (clock.monotonic() < Math.max(freeAt, lossOver)) return;
    followsRelease = head?.kind === "release";
    await records.append({ kind: "grant", ...records.base(), duration, note: head?.note ?? [] });
    follow();
  };

  const step = async (): Promise<void> => {
    follow();
    if (!isCurrent()) forget("expired");
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
      await exclusively(step).catch(() => undefined);
      await pause(clock, nextDelay(), stop.signal);
    }
  };
  const task = run();

  const release = async (): Promise<void> => {
    if (held === undefined || !isCurrent()) return;
    const grant = held.fencingNumber;
    held = undefined;
    await records.append({ kind: "release", ...records.base(), grant });
  };

  /** Renews with a new note. @returns Whether the renewal that carries it is the last valid record. */
  const saveNote = async (fencingNumber: number, note: readonly string[]): Promise<boolean> => {
    follow();
    if (held === undefined || !isHeldAs(fencingNumber)) return false;
    held.note = note;
    await renew(held);
    const head = records.head();
    return isHeldAs(fencingNumber) && head?.holder === holder && head.note.join() === note.join();
  };

  const tenure = (): Tenure | undefined => {
    if (held === undefined || !isCurrent()) return undefined;
    const { fencingNumber, beganAt } = held;
    return {
      fencingNumber,
      beganAt,
      followsRelease: held.followsRelease,
      isValid: () => isHeldAs(fencingNumber),
      note: () => held?.note ?? [],
      setNote: (note) => {
        if (held !== undefined && isHeldAs(fencingNumber)) held.note = note;
      },
      saveNote: (note) => exclusively(() => saveNote(fencingNumber, note)).catch(() => false),
    };
  };

  return {
    name,
    tenure,
    view: () => ({
      lease: name,
      candidate: parts.isCandidate(),
      held: isCurrent(),
      lastHolder: records.head()?.holder ?? null,
      ...describeHeld(held, clock.monotonic()),
    }),
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await task;
      await exclusively(release).catch(() => undefined);
    },
  };
};
