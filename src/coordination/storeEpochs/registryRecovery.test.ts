import { describe, it } from "node:test";
import { expect } from "earl";
import { drainingAnswer, engineEntry } from "../../../tests/support/forwardingFixture.ts";
import type { FeedPage, ReplicaEntry } from "../../protocol/forwarding/types.ts";
import { StorePosition } from "../../protocol/StorePosition.ts";
import { createReplicaTable } from "../../state/forwarding/replicaTable.ts";
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
