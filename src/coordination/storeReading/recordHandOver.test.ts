import { describe, it } from "node:test";
import { expect } from "earl";
import type { FeedPage, FeedRecord } from "../../protocol/forwarding/types.ts";
import { StorePosition } from "../../protocol/StorePosition.ts";
import { maxHandedRecords, maxKeptRecords } from "./constants.ts";
import { createRecordHandOver } from "./recordHandOver.ts";

const at = (offset: number, epoch = 1): StorePosition => new StorePosition(epoch, offset);

const record = (offset: number, value = "small"): FeedRecord<string> => ({
  position: at(offset),
  key: `key-${offset}`,
  value,
});

const create = () => {
  const state: { own: StorePosition | undefined; applied: FeedPage<string>[] } = { own: at(10), applied: [] };
  const handOver = createRecordHandOver<string>({
    position: () => state.own,
    isSmall: ({ value }) => value === "small",
    apply: (page) => state.applied.push(page),
  });
  handOver.restart(at(10));
  return { state, handOver };
};

const offsetsOf = (records: readonly FeedRecord<string>[] | undefined): readonly number[] | undefined =>
  records?.map(({ position }) => position.offsetIn(1));

describe("recordHandOver", () => {
  it("hands over the kept records between two positions, without repeated ones", () => {
    const { handOver } = create();
    for (const offset of [10, 11, 11, 10, 15]) handOver.keep(record(offset));
    expect(offsetsOf(handOver.between(at(10), at(16)))).toEqual([10, 11, 15]);
    expect(offsetsOf(handOver.between(at(11), at(15)))).toEqual([11]);
    expect(offsetsOf(handOver.between(at(16), at(16)))).toEqual([]);
  });

  // Guards against a proof without a record that the asking router lacks.
  it("hands over nothing if a record is missing, too large or of another epoch, or there are too many", () => {
    const { handOver } = create();
    handOver.keep(record(12));
    handOver.keep(record(13, "large"));
    expect(handOver.between(at(9), at(13))).toEqual(undefined);
    expect(handOver.between(at(12), at(14))).toEqual(undefined);
    expect(handOver.between(at(12, 2), at(13, 2))).toEqual(undefined);
    for (let offset = 14; offset < 15 + maxHandedRecords; offset += 1) handOver.keep(record(offset));
    expect(handOver.between(at(14), at(15 + maxHandedRecords))).toEqual(undefined);
    for (let offset = 100; offset < 100 + maxKeptRecords; offset += 1) handOver.keep(record(offset));
    expect(handOver.between(at(20), at(21))).toEqual(undefined);
    handOver.restart(at(500));
    expect(handOver.between(at(499), at(500))).toEqual(undefined);
  });

  it("knows the records that another router has handed over, until a whole read", () => {
    const { state, handOver } = create();
    handOver.receive(at(10), at(20), [record(15)]);
    expect(state.applied.map(({ records }) => offsetsOf(records))).toEqual([[15]]);
    expect(handOver.known()).toEqual(at(20));
    state.own = at(12);
    expect(handOver.known()).toEqual(at(20));
    handOver.restart(at(12));
    expect(handOver.known()).toEqual(at(12));
  });

  // Guards against applying the records of an epoch that has ended, which the store may have lost.
  it("ignores records of another epoch, and records after a position that it does not know", () => {
    const { state, handOver } = create();
    handOver.receive(at(11), at(20), [record(15)]);
    state.own = at(3, 2);
    handOver.receive(at(10), at(20), [record(15)]);
    state.own = undefined;
    handOver.receive(at(10), at(20), [record(15)]);
    expect(state.applied).toEqual([]);
    expect(handOver.known()).toEqual(undefined);
  });
});
