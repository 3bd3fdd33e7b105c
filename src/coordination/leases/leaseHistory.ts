/**
 * Reads the log's stream of leases.
 *
 * A record is valid if no valid record of the same lease lies between the point to which its writer had read
 * and its own offset. That depends on the log alone, so all readers agree, whatever their clocks and the
 * order of their polls. Clocks only matter to writers: a contender appends no grant before `freeAt`.
 *
 * Where records expired before they were read, the validity of some that follow can't be told. Those count
 * as possibly valid: nobody acts under them, and contenders wait for them.
 *
 * A new epoch of the store ends all tenures: records of an earlier one may be lost to some readers and known to others.
 * The history begins anew with it, only records written in it count, and contenders wait as if records had expired.
 */
import type { StoreEpoch } from "../../protocol/storeEpoch.ts";
import { defaultEpoch } from "../../protocol/storeEpoch.ts";
import type { LogPage, LogRecord } from "../../protocol/types.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import { fenceOf } from "./fences.ts";
import { decodeLeaseRecord } from "./leaseRecord.ts";
import type { LeaseRecord } from "./leaseRecord.ts";
import type { LeaseHead, LeaseState } from "./types.ts";

const writeLog = createLogger("leases");

/** What a record turned out to be. */
export type RecordValidity = "valid" | "void" | "undecided";

/** The stream of leases as one process has read it. */
export interface LeaseHistory {
  /** The epoch that is being read; that of a store without epochs before the first page. */
  readonly epoch: () => StoreEpoch;
  /** The offset to read from next. */
  readonly readTo: () => number;
  /** When records were last found to be lost unread, by expiry or a new epoch, milliseconds on the monotonic clock. */
  readonly recordsLostAt: () => number | undefined;
  readonly state: (lease: string) => LeaseState;
  readonly states: () => ReadonlyMap<string, LeaseState>;
  /** Takes a page; repeated pages, pages out of order and pages of earlier epochs do no harm. */
  readonly applyPage: (fromOffset: number, page: LogPage) => void;
  /**
   * Takes a record if it is the next one.
   *
   * @param epoch - In which its offset was given out.
   * @returns Nothing if it is not, or is no record of a lease.
   */
  readonly apply: (
    record: Pick<LogRecord, "offset" | "data">,
    epoch: StoreEpoch,
  ) => RecordValidity | undefined;
}

interface Entry {
  head: LeaseHead | undefined;
  freeAt: number;
  lastValid: number;
  lastUndecided: number;
}

const epochOf = ({ epoch = defaultEpoch }: LeaseRecord): StoreEpoch => epoch;

const headOf = (offset: number, record: LeaseRecord, before: LeaseHead | undefined): LeaseHead => ({
  offset,
  kind: record.kind,
  fencingNumber: record.kind === "grant" ? fenceOf(epochOf(record), offset) : record.grant,
  holder: record.holder,
  id: record.id,
  note: record.kind === "release" ? (before?.note ?? []) : record.note,
});

/** Creates a history that has read nothing. */
export const createLeaseHistory = (clock: Clock): LeaseHistory => {
  const leases = new Map<string, Entry>();
  let epoch: StoreEpoch = defaultEpoch;
  let readTo = 0;
  /** Records below this offset may have expired unread. */
  let lostTo = 0;
  let lostAt: number | undefined;

  const entryOf = (lease: string): Entry => {
    const known = leases.get(lease);
    if (known !== undefined) return known;
    const entry = { head: undefined, freeAt: Number.NEGATIVE_INFINITY, lastValid: -1, lastUndecided: -1 };
    leases.set(lease, entry);
    return entry;
  };

  const judge = (entry: Entry, offset: number, record: LeaseRecord): RecordValidity => {
    if (record.readTo > offset || entry.lastValid >= record.readTo) return "void";
    return record.readTo < lostTo || entry.lastUndecided >= record.readTo ? "undecided" : "valid";
  };

  const decide = (offset: number, record: LeaseRecord): RecordValidity => {
    if (epochOf(record) !== epoch) return "void";
    const entry = entryOf(record.lease);
    const verdict = judge(entry, offset, record);
    if (verdict === "void") return verdict;
    if (verdict === "valid") {
      entry.lastValid = offset;
      entry.head = headOf(offset, record, entry.head);
      // Whoever was granted a lease in this epoch has waited for those of the one before.
      if (lostTo === 0) lostAt = undefined;
    } else entry.lastUndecided = offset;
    // A release that may be void frees nothing.
    if (record.kind !== "release") {
      entry.freeAt = Math.max(entry.freeAt, clock.monotonic() + record.duration);
    } else if (verdict === "valid") entry.freeAt = clock.monotonic();
    return verdict;
  };

  const apply: LeaseHistory["apply"] = ({ offset, data }, ofEpoch) => {
    if (ofEpoch !== epoch || offset !== readTo) return undefined;
    readTo = offset + 1;
    const record = decodeLeaseRecord(data);
    return record && decide(offset, record);
  };

  const beginAnew = (inEpoch: StoreEpoch): void => {
    epoch = inEpoch;
    leases.clear();
    readTo = 0;
    lostTo = 0;
    lostAt = clock.monotonic();
  };

  const applyPage = (fromOffset: number, page: LogPage): void => {
    if (page.epoch < epoch) return;
    if (page.epoch > epoch) beginAnew(page.epoch);
    else if (page.nextOffset < fromOffset) {
      writeLog("log_went_back", { epoch, readTo, end: page.nextOffset });
      beginAnew(epoch);
    }
    if (page.earliestOffset > readTo) {
      readTo = page.earliestOffset;
      lostTo = page.earliestOffset;
      lostAt = clock.monotonic();
    }
    if (fromOffset <= readTo) page.records.forEach((record) => apply(record, page.epoch));
  };

  return {
    epoch: () => epoch,
    readTo: () => readTo,
    recordsLostAt: () => lostAt,
    state: (lease) => {
      const { head, freeAt } = entryOf(lease);
      return { head, freeAt };
    },
    states: () => leases,
    applyPage,
    apply,
  };
};
