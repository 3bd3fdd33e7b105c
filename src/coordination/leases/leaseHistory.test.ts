import { describe, it } from "node:test";
import { expect } from "earl";
import { createManualClock } from "../manualClock.ts";
import { createLeaseHistory } from "./leaseHistory.ts";
import { encodeLeaseRecord } from "./leaseRecord.ts";
import { defaultEpoch } from "../../protocol/storeEpoch.ts";

const lease = "orders/levant";

const grant = (holder: string, readTo: number, epoch?: number): string =>
  encodeLeaseRecord({
    ...(epoch === undefined ? {} : { epoch }),
    kind: "grant",
    lease,
    holder,
    id: `${holder}-${readTo}`,
    readTo,
    duration: 1000,
    note: [],
  });

const page = (records: readonly string[], earliestOffset = 0, epoch = defaultEpoch) => ({
  records: records
    .map((data, offset) => ({ offset, appendedAt: 0, data }))
    .filter((record) => record.offset >= earliestOffset),
  earliestOffset,
  nextOffset: records.length,
  epoch,
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

  it("begins anew with an epoch: no earlier record counts, contenders wait, and fences rise", () => {
    const clock = createManualClock(100);
    const history = createLeaseHistory(clock);
    const before = [grant("a", 0, 1), grant("b", 1, 1), grant("c", 2, 1)];
    history.applyPage(0, page(before, 0, 1));
    const fence = history.state(lease).head?.fencingNumber ?? 0;
    clock.advanceTo(5_000);
    history.applyPage(3, page(before.slice(0, 1), 0, 2));
    expect(history.state(lease).head).toEqual(undefined);
    expect([history.epoch(), history.recordsLostAt()]).toEqual([2, 5_000]);
    const after = [...before.slice(0, 1), grant("d", 1, 2)];
    history.applyPage(0, page(after, 0, 2));
    const head = history.state(lease).head;
    expect([head?.holder, head?.offset]).toEqual(["d", 1]);
    expect((head?.fencingNumber ?? 0) > fence).toEqual(true);
  });

  // The writer had read records that are lost now.
  it("takes a record of an earlier epoch that arrives late for void", () => {
    const history = createLeaseHistory(createManualClock());
    history.applyPage(0, page([grant("a", 0, 2), grant("late", 1, 1)], 0, 2));
    expect(history.state(lease).head?.holder).toEqual("a");
    history.applyPage(0, page([grant("late", 0, 2)], 0, 1));
    expect([history.epoch(), history.state(lease).head?.holder]).toEqual([2, "a"]);
  });

  it("begins anew where the log is shorter than what was read of it, although its epoch is the same", () => {
    const clock = createManualClock(100);
    const history = createLeaseHistory(clock);
    history.applyPage(0, page([grant("a", 0), grant("b", 1)]));
    history.applyPage(2, page([grant("a", 0)]));
    expect([history.readTo(), history.state(lease).head, history.recordsLostAt()]).toEqual([
      0,
      undefined,
      100,
    ]);
  });
});
