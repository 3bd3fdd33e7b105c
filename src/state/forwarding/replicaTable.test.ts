import { describe, it } from "node:test";
import { expect } from "earl";
import * as fc from "fast-check";
import { engineEntry } from "../../../tests/support/forwardingFixture.ts";
import { replicaKeyOf } from "../../protocol/forwarding/peerMessage.ts";
import type { ReplicaEntry } from "../../protocol/forwarding/types.ts";
import type { Departure } from "./replicaTable.ts";
import { createReplicaTable } from "./replicaTable.ts";
import { isDifferentIncarnation } from "./replicaState.ts";

/** One incarnation of the replica that is registered as `engine`. */
const incarnation = (bornAt: number, fields: Partial<ReplicaEntry> = {}): ReplicaEntry =>
  engineEntry(`engine/${bornAt}`, { registeredAs: "engine", bornAt, ...fields });

describe("a replica that starts again under its name", () => {
  it("has nothing of the incarnation before", () => {
    const table = createReplicaTable();
    const departures: (Departure | undefined)[] = [];
    let isAbandoned = false;
    table.put(incarnation(100));
    table.subscribe((_, departure) => departures.push(departure));
    const before = table.get("engine/100");
    if (before === undefined) throw new Error("It is not known.");
    before.requests = 3;
    before.failures = 2;
    before.ejectedUntil = 1_000;
    before.computedTokens = 50_000;
    before.abandon.add(() => {
      isAbandoned = true;
    });
    table.noteWeights("engine/100", "m", 7);
    expect(table.put(incarnation(200))).toEqual(true);
    const after = table.get("engine/200");
    expect([after?.requests, after?.failures, after?.computedTokens, after?.weights.get("m")]).toEqual([
      0, 0, 0, 1,
    ]);
    expect(after?.ejectedUntil).toEqual(Number.NEGATIVE_INFINITY);
    expect(isAbandoned).toEqual(true);
    expect(departures).toEqual(["restarted", undefined]);
    expect(table.all().length).toEqual(1);
    // Homes and owners stay where they are.
    expect(after?.hash).toEqual(before.hash);
  });

  it("is not told from peers' word of the incarnation before", () => {
    const table = createReplicaTable();
    table.put(incarnation(100));
    table.put(incarnation(200));
    table.noteWorkAt("peer", replicaKeyOf("engine/100"), { requests: 9, promptTokens: [9_000] });
    table.noteWeights("engine/100", "m", 7);
    expect(table.get("engine/200")?.peerTotals.requests).toEqual(0);
    expect(table.get("engine/200")?.weights.get("m")).toEqual(1);
  });

  it("takes new work though the one before was leaving", () => {
    const table = createReplicaTable();
    table.put(incarnation(100, { isDraining: true }));
    expect(table.serving("engines").length).toEqual(0);
    table.put(incarnation(200));
    expect(table.serving("engines").length).toEqual(1);
  });

  it("is told from an engine's own word", () => {
    expect(isDifferentIncarnation(incarnation(100), { bornAt: 200 })).toEqual(true);
    expect(isDifferentIncarnation(incarnation(100), { bornAt: 100 })).toEqual(false);
    expect(isDifferentIncarnation(incarnation(100), { bornAt: undefined })).toEqual(false);
    expect(isDifferentIncarnation(engineEntry("engine"), { bornAt: 100 })).toEqual(false);
  });

  it("is the newest incarnation that was heard of, in whatever order entries come", () => {
    const step = fc.record({ bornAt: fc.nat({ max: 5 }), isWhole: fc.boolean() });
    fc.assert(
      fc.property(fc.array(step, { minLength: 1, maxLength: 20 }), (steps) => {
        const table = createReplicaTable();
        let newest = -1;
        for (const { bornAt, isWhole } of steps) {
          newest = Math.max(newest, bornAt);
          if (isWhole) table.replaceAll([incarnation(bornAt), engineEntry("other")]);
          else table.put(incarnation(bornAt));
          const known = table.all().filter(({ entry }) => entry.registeredAs === "engine");
          expect(known.map(({ entry }) => entry.id)).toEqual([`engine/${newest}`]);
          expect(table.getByKey(replicaKeyOf(`engine/${newest}`))?.entry.bornAt).toEqual(newest);
        }
        expect(table.remove("engine")).toEqual(true);
        expect(table.get(`engine/${newest}`)).toEqual(undefined);
      }),
    );
  });
});

describe("a registration", () => {
  it("is news where it changes who gets work, and none where weights change, which are told by themselves", () => {
    const table = createReplicaTable();
    expect(table.put(engineEntry("engine"))).toEqual(true);
    expect(table.put(engineEntry("engine", { weights: new Map([["m", 2]]) }))).toEqual(false);
    expect(table.get("engine")?.weights.get("m")).toEqual(2);
    expect(table.replaceAll([engineEntry("engine", { weights: new Map([["m", 3]]) })])).toEqual(false);
    expect(table.put(engineEntry("engine", { isDraining: true }))).toEqual(true);
    expect(table.replaceAll([])).toEqual(true);
  });
});

describe("a replica that reported draining", () => {
  const isServing = (table: ReturnType<typeof createReplicaTable>): boolean =>
    table.serving("engines").length > 0;

  it("stays drained when the registry lists it as ready, drops it and lists it again", () => {
    const table = createReplicaTable();
    table.put(incarnation(100));
    expect(table.markDraining("engine/100")).toEqual(true);
    expect(table.markDraining("engine/100")).toEqual(false);
    table.put(incarnation(100));
    expect(isServing(table)).toEqual(false);
    table.remove("engine");
    table.put(incarnation(100));
    expect(isServing(table)).toEqual(false);
    table.replaceAll([]);
    table.replaceAll([incarnation(100)]);
    expect(isServing(table)).toEqual(false);
  });

  it("stays drained if it reported so while the registry had dropped it", () => {
    const table = createReplicaTable();
    expect(table.markDraining("engine/100")).toEqual(true);
    table.put(incarnation(100));
    expect(isServing(table)).toEqual(false);
  });

  it("starts clean as a new incarnation at the same address", () => {
    const table = createReplicaTable();
    table.put(incarnation(100));
    table.markDraining("engine/100");
    table.put(incarnation(200));
    expect(isServing(table)).toEqual(true);
    table.put(engineEntry("other", { address: incarnation(100).address }));
    expect(table.serving("engines").length).toEqual(2);
  });
});
