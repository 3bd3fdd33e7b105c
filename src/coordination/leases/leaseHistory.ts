/**
 * Evaluates the log's leases stream.
 *
 * A record is valid if no valid record of the same lease lies between the offset to which its writer had read and
 * its own offset. That depends on the log alone, so all readers agree, whatever their clocks and the order of
 * their polls. Clocks only matter to writers: a contender appends no grant before `freeAt`.
 *
 * If records expired before they were read, the validity of some later ones is undecided. No process acts under
 * those, and contenders wait as if they were valid.
 *
 * A new epoch of the store ends all tenures, since some readers may know records of the earlier epoch that others
 * have lost. The history starts over with the new epoch: only records written in it count, and contenders wait as
 * if records had expired.
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

/** The validity of a record; `undecided` if it depends on records that expired unread. */
export type RecordValidity = "valid" | "void" | "undecided";

/** The leases stream as one process has read it. */
export interface LeaseHistory {
  /** The epoch that is being read; before the first page, that of a store without epochs. */
  readonly epoch: () => StoreEpoch;
  /** The offset to read next. */
  readonly readTo: () => number;
  /** When unread records were last found lost, by expiry or a new epoch, milliseconds on the monotonic clock. */
  readonly recordsLostAt: () => number | undefined;
  readonly state: (lease: string) => LeaseState;
  readonly states: () => ReadonlyMap<string, LeaseState>;
  /** Applies a page; repeated pages, pages out of order and pages of earlier epochs are harmless. */
  readonly applyPage: (fromOffset: number, page: LogPage) => void;
  /**
   * Applies a record if it is the next one.
   *
   * @param epoch - The epoch in which its offset was assigned.
   * @returns `undefined` if it is not the next one, or not a lease record.
   */
  readonly apply: (
    record: Pick<LogRecord, "offset" | "data">,
    epoch: StoreEpoch,
  ) => RecordValidity | undefined;
}

interface LeaseEntry {
  head: LeaseHead | undefined;
  freeAt: number;
  lastValid: number;
  lastUndecided: number;
}

const epochOf = ({ epoch = defaultEpoch }: LeaseRecord): StoreEpoch => epoch;

const headOf = (offset: number, record: LeaseRecord, previous: LeaseHead | undefined): LeaseHead => ({
  offset,
  kind: record.kind,
  fencingNumber: record.kind === "grant" ? fenceOf(epochOf(record), offset) : record.grant,
  holder: record.holder,
  id: record.id,
  note: record.kind === "release" ? (previous?.note ?? []) : record.note,
});

/** Creates a history that has read nothing yet. */
export const createLeaseHistory = (clock: Clock): LeaseHistory => {
  const leases = new Map<string, LeaseEntry>();
  let epoch: StoreEpoch = defaultEpoch;
  let readTo = 0;
  /** Records below this offset may have expired unread. */
  let lostBelow = 0;
  let recordsLostAt: number | undefined;

  const entryOf = (lease: string): LeaseEntry => {
    const known = leases.get(lease);
    if (known !== undefined) return known;
    const entry = { head: undefined, freeAt: Number.NEGATIVE_INFINITY, lastValid: -1, lastUndecided: -1 };
    leases.set(lease, entry);
    return entry;
  };

  const validityOf = (entry: LeaseEntry, offset: number, record: LeaseRecord): RecordValidity => {
    if (record.readTo > offset || entry.lastValid >= record.readTo) return "void";
    return record.readTo < lostBelow || entry.lastUndecided >= record.readTo ? "undecided" : "valid";
  };

  const applyRecord = (offset: number, record: LeaseRecord): RecordValidity => {
    if (epochOf(record) !== epoch) return "void";
    const entry = entryOf(record.lease);
    const validity = validityOf(entry, offset, record);
    if (validity === "void") return validity;
    if (validity === "valid") {
      entry.lastValid = offset;
      entry.head = headOf(offset, record, entry.head);
      // The holder that was granted a lease in this epoch has waited for the tenures of the earlier one to end.
      if (lostBelow === 0) recordsLostAt = undefined;
    } else entry.lastUndecided = offset;
    // An undecided release may be void, so it frees nothing.
    if (record.kind !== "release") {
      entry.freeAt = Math.max(entry.freeAt, clock.monotonic() + record.duration);
    } else if (validity === "valid") entry.freeAt = clock.monotonic();
    return validity;
  };

  const apply: LeaseHistory["apply"] = ({ offset, data }, ofEpoch) => {
    if (ofEpoch !== epoch || offset !== readTo) return undefined;
    readTo = offset + 1;
    const record = decodeLeaseRecord(data);
    return record && applyRecord(offset, record);
  };

  const startOver = (inEpoch: StoreEpoch): void => {
    epoch = inEpoch;
    leases.clear();
    readTo = 0;
    lostBelow = 0;
    recordsLostAt = clock.monotonic();
  };

  const applyPage = (fromOffset: number, page: LogPage): void => {
    if (page.epoch < epoch) return;
    if (page.epoch > epoch) startOver(page.epoch);
    else if (page.nextOffset < fromOffset) {
      writeLog("log_went_back", { epoch, readTo, end: page.nextOffset });
      startOver(epoch);
    }
    if (page.earliestOffset > readTo) {
      readTo = page.earliestOffset;
      lostBelow = page.earliestOffset;
      recordsLostAt = clock.monotonic();
    }
    if (fromOffset <= readTo) page.records.forEach((record) => apply(record, page.epoch));
  };

  return {
    epoch: () => epoch,
    readTo: () => readTo,
    recordsLostAt: () => recordsLostAt,
    state: (lease) => {
      const { head, freeAt } = entryOf(lease);
      return { head, freeAt };
    },
    states: () => leases,
    applyPage,
    apply,
  };
};
