import { describe, it } from "node:test";
import { expect } from "earl";
import { createManualClock } from "../manualClock.ts";
import { createLeaseHistory } from "./leaseHistory.ts";
import { encodeLeaseRecord } from "./leaseRecord.ts";
import { unnamedEpoch } from "../../protocol/storeEpoch.ts";

const lease = "orders/levant";

const grant = (holder: string, readTo: number): string =>
  encodeLeaseRecord({
    kind: "grant",
    lease,
    holder,
    id: `${holder}-${readTo}`,
    readTo,
    duration: 1000,
    note: [],
  });

const page = (records: readonly string[], earliestOffset = 0) => ({
  records: records
    .map((data, offset) => ({ offset, appendedAt: 0, data }))
    .filter((record) => record.offset >= earliestOffset),
  earliestOffset,
  nextOffset: records.length,
  epoch: unnamedEpoch,
});

describe("lease history", () => {
  it("takes the first of two grants that were sent from the same point", () => {
    const history = createLeaseHistory(createManualClock());
    history.applyPage(0, page([grant("a", 0), grant("b", 0), grant("c", 0)]));
    expect(history.state(lease).head).toEqual({
      offset: 0,
      kind: "grant",
      fencingNumber: 0,
      holder: "a",
      id: "a-0",
      note: [],
    });
  });

  it("keeps the number of the grant over renewals, and frees a released lease at once", () => {
    const clock = createManualClock();
    const history = createLeaseHistory(clock);
    const common = { lease, holder: "a", grant: 0 };
    const renewal = encodeLeaseRecord({
      kind: "renewal",
      ...common,
      id: "r",
      readTo: 1,
      duration: 1000,
      note: [],
    });
    const release = encodeLeaseRecord({ kind: "release", ...common, id: "s", readTo: 2 });
    history.applyPage(0, page([grant("a", 0), renewal]));
    expect(history.state(lease).head?.fencingNumber).toEqual(0);
    expect(history.state(lease).freeAt).toEqual(1000);
    history.applyPage(0, page([grant("a", 0), renewal, release]));
    expect(history.state(lease).freeAt).toEqual(0);
  });

  it("does not act on a record whose validity depends on records that expired unread", () => {
    const history = createLeaseHistory(createManualClock());
    const records = [grant("a", 0), grant("b", 1), grant("c", 1), grant("d", 2), grant("e", 4)];
    // Without the first two, the third may have been valid, and so may the fourth.
    history.applyPage(2, page(records.slice(0, 4), 2));
    expect(history.state(lease).head).toEqual(undefined);
    expect(history.state(lease).freeAt).toEqual(1000);
    history.applyPage(4, page(records, 2));
    expect(history.state(lease).head?.holder).toEqual("e");
  });

  it("takes unreadable records and pages that leave a gap for nothing", () => {
    const history = createLeaseHistory(createManualClock());
    history.applyPage(0, page(["{", '{"kind":"grant"}']));
    expect(history.readTo()).toEqual(2);
    const later = page(["", "", "", grant("a", 3)]);
    history.applyPage(3, { ...later, records: later.records.slice(3) });
    expect(history.readTo()).toEqual(2);
  });
});
