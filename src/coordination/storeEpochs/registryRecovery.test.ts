import { describe, it } from "node:test";
import { expect } from "earl";
import * as fc from "fast-check";
import { drainingAnswer, engineEntry } from "../../../tests/support/forwardingFixture.ts";
import type { FeedPage, ReplicaEntry } from "../../protocol/forwarding/types.ts";
import { StorePosition } from "../../protocol/StorePosition.ts";
import { createReplicaTable } from "../../state/forwarding/replicaTable.ts";
import { setLogSink } from "../../state/log.ts";
import { createManualClock } from "../manualClock.ts";
import { createRegistryRecovery } from "./registryRecovery.ts";

/** A record of the registry: its offset, its key and its entry, without which it removes the key. */
type WrittenRecord = readonly [offset: number, key: string, entry?: ReplicaEntry];

const pageOf = (next: number, records: readonly WrittenRecord[], epoch = 1): FeedPage<ReplicaEntry> => ({
  records: records.map(([offset, key, value]) => ({
    position: new StorePosition(epoch, offset),
    key,
    value,
  })),
  next: new StorePosition(epoch, next),
  isComplete: true,
});

const start = () => {
  const replicas = createReplicaTable();
  const clock = createManualClock(1_000);
  const registry = createRegistryRecovery(replicas, clock);
  const serving = (): readonly string[] => replicas.serving("engines").map(({ entry }) => entry.id);
  return { replicas, clock, registry, serving };
};

describe("the registry's position, which other routers compare with their own", () => {
  // Otherwise routers that rely on this one's reads keep sending requests to the replica.
  it("advances with a report of draining that this router knew from an answer", () => {
    const { replicas, registry } = start();
    registry.replace(pageOf(5, [[1, "a", engineEntry("a")]]));
    replicas.markDraining("a", drainingAnswer);
    registry.apply(pageOf(8, [[7, "a", engineEntry("a", { isDraining: true })]]));
    expect(registry.lastChangePosition()).toEqual(new StorePosition(1, 8));
  });

  it("advances with the removal of a replica that this router had dropped", () => {
    const { replicas, registry } = start();
    registry.replace(pageOf(5, [[1, "a", engineEntry("a")]]));
    replicas.remove("a");
    registry.apply(pageOf(8, [[7, "a"]]));
    expect(registry.lastChangePosition()).toEqual(new StorePosition(1, 8));
  });

  it("stays where heartbeats and weights change nothing about who gets work", () => {
    const { registry } = start();
    registry.replace(pageOf(5, [[1, "a", engineEntry("a")]]));
    registry.apply(pageOf(8, [[7, "a", engineEntry("a", { weights: new Map([["m", 2]]) })]]));
    expect(registry.lastChangePosition()).toEqual(new StorePosition(1, 5));
  });
});

describe("a removed replica", () => {
  // The pages of a whole read are not a snapshot, and a read may be served from an older state of the store.
  it("is not listed again by a whole read that is older than its removal", () => {
    const { registry, serving } = start();
    registry.replace(pageOf(5, [[1, "a", engineEntry("a")]]));
    registry.apply(pageOf(8, [[7, "a"]]));
    registry.replace(pageOf(6, [[1, "a", engineEntry("a")]]));
    expect(serving()).toEqual([]);
  });

  it("is not listed again by a change that is read a second time", () => {
    const { registry, serving } = start();
    registry.replace(pageOf(5, []));
    registry.apply(
      pageOf(9, [
        [7, "a", engineEntry("a")],
        [8, "a"],
      ]),
    );
    registry.apply(pageOf(8, [[7, "a", engineEntry("a")]]));
    expect(serving()).toEqual([]);
  });
});

describe("a report of draining in the registry", () => {
  it("counts also in a record that a newer one has superseded", () => {
    const { registry, serving } = start();
    registry.replace(pageOf(5, [[7, "a", engineEntry("a")]]));
    registry.apply(pageOf(7, [[6, "a", engineEntry("a", { isDraining: true })]]));
    expect(serving()).toEqual([]);
  });

  it("counts also in a copy of the store that lists a removed replica", () => {
    const { registry, serving } = start();
    registry.replace(pageOf(5, [[1, "a", engineEntry("a")]]));
    registry.apply(pageOf(8, [[7, "a"]]));
    registry.replace(pageOf(3, [[2, "a", engineEntry("a", { isDraining: true })]], 2));
    registry.apply(pageOf(4, [[3, "a", engineEntry("a")]], 2));
    expect(serving()).toEqual([]);
  });

  it("counts in a copy of the store that lists a replica whose entry had lapsed before", () => {
    const { registry, serving } = start();
    registry.replace(pageOf(5, [[1, "a", engineEntry("a")]]));
    registry.apply(pageOf(8, [[7, "a"]]));
    registry.apply(pageOf(9, [[8, "a", engineEntry("a")]]));
    registry.replace(pageOf(10, [[9, "a", engineEntry("a", { isDraining: true })]], 2));
    expect(serving()).toEqual([]);
  });
});

describe("a whole read of the registry", () => {
  it("never moves the position back", () => {
    const { registry } = start();
    registry.replace(pageOf(5, [[1, "a", engineEntry("a")]]));
    registry.apply(pageOf(8, [[7, "a", engineEntry("a", { isDraining: true })]]));
    registry.replace(pageOf(4, [[2, "b", engineEntry("b")]]));
    expect(registry.lastChangePosition()).toEqual(new StorePosition(1, 8));
  });

  // Its pages are no snapshot: the proofs that other routers get must cover every record that was read.
  it("advances the position beyond the records that it contains", () => {
    const { registry } = start();
    const drained = engineEntry("a", { isDraining: true });
    registry.replace(pageOf(5, [[7, "a", drained]]));
    registry.apply(pageOf(8, [[7, "a", drained]]));
    expect(registry.lastChangePosition()).toEqual(new StorePosition(1, 8));
    registry.replace(pageOf(2, [[3, "a", engineEntry("a")]], 2));
    expect(registry.lastChangePosition()).toEqual(new StorePosition(2, 4));
  });

  it("does not drop a replica that registered after it", () => {
    const { registry, serving } = start();
    registry.replace(pageOf(5, []));
    registry.apply(pageOf(8, [[7, "a", engineEntry("a")]]));
    registry.replace(pageOf(6, []));
    expect(serving()).toEqual(["a"]);
  });

  it("advances the position only if it changes which replicas get work", () => {
    const { registry } = start();
    registry.replace(pageOf(5, [[1, "a", engineEntry("a")]]));
    registry.replace(pageOf(9, [[8, "a", engineEntry("a", { weights: new Map([["m", 3]]) })]]));
    expect(registry.lastChangePosition()).toEqual(new StorePosition(1, 5));
    registry.replace(pageOf(12, []));
    expect(registry.lastChangePosition()).toEqual(new StorePosition(1, 12));
  });

  it("leaves a replica draining that it lists as ready", () => {
    const { replicas, registry, serving } = start();
    registry.replace(pageOf(5, [[1, "a", engineEntry("a")]]));
    replicas.markDraining("a", drainingAnswer);
    registry.replace(pageOf(9, []));
    registry.replace(pageOf(12, [[11, "a", engineEntry("a")]]));
    expect(serving()).toEqual([]);
  });
});

/** One incarnation of the replica that is registered as `a`. */
const incarnation = (bornAt: number, fields: Partial<ReplicaEntry> = {}): ReplicaEntry =>
  engineEntry(`a/${bornAt}`, { registeredAs: "a", bornAt, ...fields });

describe("a replica that restarted under its name", () => {
  it("is the incarnation of the newest record, whatever the start times and the order of reads", () => {
    const step = fc.record({
      bornAt: fc.nat({ max: 5 }),
      isWhole: fc.boolean(),
      repeats: fc.nat({ max: 2 }),
    });
    fc.assert(
      fc.property(fc.array(step, { minLength: 1, maxLength: 20 }), (steps) => {
        const { replicas, registry } = start();
        registry.replace(pageOf(0, []));
        let offset = 0;
        const written: WrittenRecord[] = [];
        for (const { bornAt, isWhole, repeats } of steps) {
          // A running replica repeats its entry.
          for (let count = 0; count < 2; count += 1) {
            offset += 1;
            written.push([offset, "a", incarnation(bornAt)]);
          }
          const newest = written.at(-1);
          if (isWhole && newest !== undefined) registry.replace(pageOf(offset + 1, [newest]));
          else registry.apply(pageOf(offset + 1, written.slice(-2)));
          // Reads that overlap deliver older records again.
          registry.apply(pageOf(offset + 1, written.slice(-2 - repeats)));
          if (isWhole) {
            offset += 1;
            written.push([offset, "a", incarnation(bornAt)]);
            registry.apply(pageOf(offset + 1, written.slice(-1)));
          }
          expect(replicas.all().map(({ entry }) => entry.id)).toEqual([`a/${bornAt}`]);
        }
      }),
    );
  });

  it("is not replaced by a write of its previous incarnation that was carried out late", () => {
    const { registry, serving } = start();
    registry.replace(pageOf(5, [[1, "a", incarnation(100)]]));
    registry.apply(pageOf(8, [[7, "a", incarnation(200, { isDraining: true })]]));
    registry.apply(pageOf(9, [[8, "a", incarnation(100)]]));
    expect(serving()).toEqual([]);
    registry.apply(pageOf(10, [[9, "a", incarnation(100)]]));
    expect(serving()).toEqual(["a/100"]);
  });

  // Such a report may be the last record that the replica writes.
  it("counts as draining with one entry after a late write had replaced it", () => {
    const { registry, serving } = start();
    registry.replace(pageOf(5, [[1, "a", incarnation(200)]]));
    registry.apply(pageOf(8, [[7, "a", incarnation(100)]]));
    registry.apply(pageOf(9, [[8, "a", incarnation(200, { isDraining: true })]]));
    expect(serving()).toEqual([]);
  });

  it("is not replaced by a late write that is read twice", () => {
    const { registry, serving } = start();
    registry.replace(pageOf(5, [[1, "a", incarnation(100)]]));
    registry.apply(pageOf(8, [[7, "a", incarnation(200)]]));
    registry.apply(pageOf(9, [[8, "a", incarnation(100)]]));
    registry.replace(pageOf(9, [[8, "a", incarnation(100)]]));
    expect(serving()).toEqual(["a/200"]);
  });

  it("is not listed again by such a write after it has left", () => {
    const { registry, serving } = start();
    registry.replace(pageOf(5, [[1, "a", incarnation(100)]]));
    registry.apply(pageOf(8, [[7, "a", incarnation(200)]]));
    registry.apply(pageOf(9, [[8, "a"]]));
    registry.apply(pageOf(10, [[9, "a", incarnation(100)]]));
    expect(serving()).toEqual([]);
  });

  it("is not replaced by an earlier incarnation in a copy of the store", () => {
    const { registry, serving } = start();
    registry.replace(pageOf(5, [[1, "a", incarnation(100)]]));
    registry.apply(pageOf(8, [[7, "a", incarnation(200)]]));
    registry.replace(pageOf(3, [[1, "a", incarnation(100)]], 2));
    expect(serving()).toEqual(["a/200"]);
  });

  it("does not get work by an incarnation in a copy of the store if it drains", () => {
    const { registry, serving } = start();
    registry.replace(pageOf(5, [[1, "a", incarnation(200, { isDraining: true })]]));
    registry.replace(pageOf(3, [[1, "a", incarnation(100)]], 2));
    expect(serving()).toEqual([]);
    registry.apply(pageOf(4, [[3, "a", incarnation(100)]], 2));
    expect(serving()).toEqual(["a/100"]);
  });
});

describe("an entry of the registry that has no effect", () => {
  it("is logged once with the reason and whether it says that the replica drains", () => {
    const lines: unknown[] = [];
    setLogSink((part, event, fields) => {
      if (part === "replicas") lines.push([event, fields.replica, fields.reason, fields.isDraining]);
    });
    const { registry } = start();
    registry.replace(pageOf(5, [[1, "a", incarnation(100)]]));
    registry.apply(pageOf(8, [[7, "a", incarnation(200)]]));
    registry.apply(pageOf(9, [[8, "a", incarnation(100)]]));
    registry.apply(pageOf(10, [[9, "a", incarnation(200)]]));
    registry.apply(pageOf(11, [[10, "a", incarnation(100)]]));
    registry.replace(pageOf(3, [[1, "a", incarnation(100, { isDraining: true })]], 2));
    expect(lines).toEqual([
      ["entry_dropped", "a/100", "late_write", false],
      ["entry_dropped", "a/100", "departed", true],
    ]);
  });
});
