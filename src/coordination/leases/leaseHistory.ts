/**
 * Reads the log's stream of leases.
 *
 * A record is valid if no valid record of the same lease lies between the point to which its writer had read
 * and its own offset. That depends on the log alone, so all readers agree, whatever their clocks and the
 * order of their polls. Clocks only matter to writers: a contender appends no grant before `freeAt`.
 *
 * Where records expired before they were read, the validity of some that follow can't be told. Those count
 * as possibly valid: nobody acts under them, and contenders wait for them.
 */
import type { LogPage, LogRecord } from "../../protocol/types.ts";
import type { Clock } from "../clock.ts";
import { decodeLeaseRecord } from "./leaseRecord.ts";
import type { LeaseRecord } from "./leaseRecord.ts";
import type { LeaseHead, LeaseState } from "./types.ts";

/** What a record turned out to be. */
export type LeaseVerdict = "valid" | "void" | "undecided";

/** The stream of leases as one process has read it. */
export interface LeaseHistory {
  /** The offset to read from next. */
  readonly readTo: () => number;
  /** When records were last found to have expired unread, milliseconds on the monotonic clock. */
  readonly lostAt: () => number | undefined;
  readonly state: (lease: string) => LeaseState;
  readonly states: () => ReadonlyMap<string, LeaseState>;
  /** Takes a page; repeated pages and pages out of order do no harm. */
  readonly applyPage: (fromOffset: number, page: LogPage) => void;
  /** Takes a record if it is the next one. @returns Nothing if it is not, or is no record of a lease. */
  readonly apply: (record: Pick<LogRecord, "offset" | "data">) => LeaseVerdict | undefined;
}

interface Entry {
  head: LeaseHead | undefined;
  freeAt: number;
  lastValid: number;
  lastUndecided: number;
}

const headOf = (offset: number, record: LeaseRecord, before: LeaseHead | undefined): LeaseHead => ({
  offset,
  kind: record.kind,
  fencingNumber: record.kind === "grant" ? offset : record.grant,
  holder: record.holder,
  id: record.id,
  note: record.kind === "release" ? (before?.note ?? []) : record.note,
});

/** Creates a history that has read nothing. */
export const createLeaseHistory = (clock: Clock): LeaseHistory => {
  const leases = new Map<string, Entry>();
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

  const judge = (entry: Entry, offset: number, record: LeaseRecord): LeaseVerdict => {
    if (record.readTo > offset || entry.lastValid >= record.readTo) return "void";
    return record.readTo < lostTo || entry.lastUndecided >= record.readTo ? "undecided" : "valid";
  };

  const decide = (offset: number, record: LeaseRecord): LeaseVerdict => {
    const entry = entryOf(record.lease);
    const verdict = judge(entry, offset, record);
    if (verdict === "void") return verdict;
    if (verdict === "valid") {
      entry.lastValid = offset;
      entry.head = headOf(offset, record, entry.head);
    } else entry.lastUndecided = offset;
    // A release that may be void frees nothing.
    if (record.kind !== "release") {
      entry.freeAt = Math.max(entry.freeAt, clock.monotonic() + record.duration);
    } else if (verdict === "valid") entry.freeAt = clock.monotonic();
    return verdict;
  };

  const apply = ({ offset, data }: Pick<LogRecord, "offset" | "data">): LeaseVerdict | undefined => {
    if (offset !== readTo) return undefined;
    readTo = offset + 1;
    const record = decodeLeaseRecord(data);
    return record && decide(offset, record);
  };

  const applyPage = (fromOffset: number, page: LogPage): void => {
    if (page.earliestOffset > readTo) {
      readTo = page.earliestOffset;
      lostTo = page.earliestOffset;
      lostAt = clock.monotonic();
    }
    if (fromOffset <= readTo) page.records.forEach(apply);
  };

  return {
    readTo: () => readTo,
    lostAt: () => lostAt,
    state: (lease) => {
      const { head, freeAt } = entryOf(lease);
      return { head, freeAt };
    },
    states: () => leases,
    applyPage,
    apply,
  };
};
