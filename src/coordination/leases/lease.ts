/**
 * One lease, maintained by one task: it contends while this router is a candidate, and renews while it holds.
 *
 * A tenure is counted from before its record was sent, on this process's monotonic clock, and ends early by the
 * safety share. A contender waits for the full duration from when it read the last record. So a tenure has ended
 * before another can begin, however long either process was paused. A new epoch of the store ends every tenure.
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

export interface LeaseDependencies extends LeaseLogDependencies {
  /** How long a tenure lasts without renewal, milliseconds. */
  readonly duration: () => number;
  /** Whether this router should contend for the lease; a holder keeps it regardless. */
  readonly isCandidate: () => boolean;
  /** Whether this router must release the lease, since it can't do what the lease is for; by default never. */
  readonly mustRelease?: () => boolean;
  /** @returns The newest epoch of the store; absent if the store has no epochs. */
  readonly epoch?: () => StoreEpoch;
}

/** A lease that is contended for or held until disposal, which releases it. */
export interface Lease extends AsyncDisposable {
  readonly name: string;
  /** The present tenure, if this router holds the lease. */
  readonly tenure: () => Tenure | undefined;
  readonly view: () => LeaseView;
}

interface HeldLease {
  readonly epoch: StoreEpoch;
  readonly fencingNumber: number;
  readonly beganAt: number;
  readonly followsRelease: boolean;
  validUntil: number;
  renewAt: number;
  note: readonly string[];
}

const writeLog = createLogger("leases");

const heldFields = (
  held: HeldLease | undefined,
  now: number,
): Pick<LeaseView, "fencingNumber" | "remaining"> => ({
  fencingNumber: held?.fencingNumber ?? null,
  remaining: held === undefined ? null : Math.max(0, Math.round(held.validUntil - now)),
});

/** @returns A function that runs operations one after another: concurrent renewals would make each other void. */
const createSerialRunner = () => {
  let previous: Promise<unknown> = Promise.resolve();
  return <T>(operation: () => Promise<T>): Promise<T> => {
    const result = previous.then(operation);
    previous = result.catch(() => undefined);
    return result;
  };
};

/** Starts the task that contends for a lease. */
export const startLease = (dependencies: LeaseDependencies): Lease => {
  const { name, holder, history, clock, metrics } = dependencies;
  const log = createLeaseLog(dependencies);
  const stop = new AbortController();
  let held: HeldLease | undefined;
  /** Whether the last valid record before this process's last grant was a release. */
  let followsRelease = false;
  const runSerially = createSerialRunner();

  const currentEpoch = (): StoreEpoch => dependencies.epoch?.() ?? defaultEpoch;
  const isHeld = (): boolean => held?.epoch === currentEpoch() && clock.monotonic() < held.validUntil;
  const isHeldAs = (fencingNumber: number): boolean => held?.fencingNumber === fencingNumber && isHeld();

  const endTenure = (defaultReason: string): void => {
    if (held === undefined) return;
    const reason = held.epoch === currentEpoch() ? defaultReason : "epoch ended";
    writeLog("lost", { lease: name, fencingNumber: held.fencingNumber, reason });
    metrics.count(metricNames.leaseLosses);
    held = undefined;
  };

  const beginTenure = (fencingNumber: number, validUntil: number, renewAt: number): void => {
    if (validUntil <= clock.monotonic()) return;
    const note = log.head()?.note ?? [];
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

  /** Updates the tenure from the log: whether the last valid record is this process's, and how long it lasts. */
  const applyLog = (): void => {
    const head = log.head();
    const own = log.ownAppend();
    if (head === undefined || own === undefined) {
      if (head?.holder !== holder) endTenure("taken");
      return;
    }
    const validUntil = own.at + own.duration * (1 - safetyShare);
    const renewAt = own.at + own.duration * renewalShare;
    if (held?.fencingNumber === head.fencingNumber) {
      held.validUntil = Math.max(held.validUntil, validUntil);
      held.renewAt = Math.max(held.renewAt, renewAt);
    } else beginTenure(head.fencingNumber, validUntil, renewAt);
  };

  const renew = async ({ fencingNumber: grant, note }: HeldLease): Promise<void> => {
    await log.append({ kind: "renewal", ...log.base(), duration: dependencies.duration(), note, grant });
    applyLog();
  };

  const contend = async (): Promise<void> => {
    await log.readToEnd();
    applyLog();
    if (isHeld()) return;
    const { freeAt, head } = history.state(name);
    const duration = dependencies.duration();
    // Records that expired unread, or were lost with an earlier epoch, may just have granted the lease to another
    // router.
    const lossEndsAt = (history.recordsLostAt() ?? Number.NEGATIVE_INFINITY) + duration;
    if (clock.monotonic() < Math.max(freeAt, lossEndsAt)) return;
    followsRelease = head?.kind === "release";
    await log.append({ kind: "grant", ...log.base(), duration, note: head?.note ?? [] });
    applyLog();
  };

  const step = async (): Promise<void> => {
    applyLog();
    if (!isHeld()) endTenure("expired");
    if (held === undefined) {
      if (dependencies.isCandidate()) await contend();
    } else if (dependencies.mustRelease?.() === true) await release();
    else if (clock.monotonic() >= held.renewAt) await renew(held);
  };

  const nextDelay = (): number => {
    const poll = dependencies.duration() * pollShare;
    const untilFree = history.state(name).freeAt - clock.monotonic();
    return held === undefined && untilFree > 0 ? Math.min(poll, untilFree) : poll;
  };

  const run = async (): Promise<void> => {
    while (!stop.signal.aborted) {
      // The log can't be reached: the tenure lasts until it expires, and the next step tries again.
      await runSerially(step).catch(() => undefined);
      await pause(clock, nextDelay(), stop.signal);
    }
  };
  const task = run();

  const release = async (): Promise<void> => {
    if (held === undefined || !isHeld()) return;
    const grant = held.fencingNumber;
    writeLog("released", { lease: name, fencingNumber: grant });
    held = undefined;
    await log.append({ kind: "release", ...log.base(), grant });
  };

  /** Renews with a new note. @returns Whether the renewal that carries it is the last valid record. */
  const saveNote = async (fencingNumber: number, note: readonly string[]): Promise<boolean> => {
    applyLog();
    if (held === undefined || !isHeldAs(fencingNumber)) return false;
    held.note = note;
    await renew(held);
    const head = log.head();
    return isHeldAs(fencingNumber) && head?.holder === holder && head.note.join() === note.join();
  };

  const tenure = (): Tenure | undefined => {
    if (held === undefined || !isHeld()) return undefined;
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
      saveNote: (note) => runSerially(() => saveNote(fencingNumber, note)).catch(() => false),
    };
  };

  return {
    name,
    tenure,
    view: () => ({
      lease: name,
      candidate: dependencies.isCandidate(),
      held: isHeld(),
      lastHolder: log.head()?.holder ?? null,
      ...heldFields(held, clock.monotonic()),
    }),
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await task;
      await runSerially(release).catch(() => undefined);
    },
  };
};
