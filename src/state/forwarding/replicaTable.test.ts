import { describe, it } from "node:test";
import { expect } from "earl";
import * as fc from "fast-check";
import { drainingAnswer, engineEntry } from "../../../tests/support/forwardingFixture.ts";
import { replicaKeyOf } from "../../protocol/forwarding/peerMessage.ts";
import type { ReplicaEntry } from "../../protocol/forwarding/types.ts";
import type { Departure } from "./replicaTable.ts";
import { createReplicaTable } from "./replicaTable.ts";
import { isDifferentIncarnation } from "./replicaState.ts";

/** One incarnation of the replica that is registered as `engine`. */
const incarnation = (bornAt: number, fields: Partial<ReplicaEntry> = {}): ReplicaEntry =>
  engineEntry(`engine/${bornAt}`, { registeredAs: "engine", bornAt, ...fields });

describe("a replica that restarts under the same name", () => {
  it("starts without the state of its previous incarnation", () => {
    const table = createReplicaTable();
    const departures: (Departure | undefined)[] = [];
    let isAbandoned = false;
    table.put(incarnation(100));
    table.subscribe((_, departure) => departures.push(departure));
    const before = table.get("engine/100");
    if (before === undefined) throw new Error("replica not found");
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
    // Homes and owners are chosen by the hash, so they must not change with the incarnation.
    expect(after?.hash).toEqual(before.hash);
  });

  it("is not affected by late reports of peers about its previous incarnation", () => {
    const table = createReplicaTable();
    table.put(incarnation(100));
    table.put(incarnation(200));
    table.noteWorkAt("peer", replicaKeyOf("engine/100"), { requests: 9, promptTokens: [9_000] });
    table.noteWeights("engine/100", "m", 7);
    expect(table.get("engine/200")?.peerTotals.requests).toEqual(0);
    expect(table.get("engine/200")?.weights.get("m")).toEqual(1);
  });

  it("gets new work although its previous incarnation was draining", () => {
    const table = createReplicaTable();
    table.put(incarnation(100, { isDraining: true }));
    expect(table.serving("engines").length).toEqual(0);
    table.put(incarnation(200));
    expect(table.serving("engines").length).toEqual(1);
  });

  it("has replaced its previous incarnation also if that had left the registry before", () => {
    const table = createReplicaTable();
    table.put(incarnation(100));
    table.remove("engine");
    expect(table.departureOf("engine/100")).toEqual("gone");
    table.put(incarnation(200));
    expect(table.departureOf("engine/100")).toEqual("restarted");
  });

  it("is recognised by the start time in the engine's status", () => {
    expect(isDifferentIncarnation(incarnation(100), { bornAt: 200 })).toEqual(true);
    expect(isDifferentIncarnation(incarnation(100), { bornAt: 100 })).toEqual(false);
    expect(isDifferentIncarnation(incarnation(100), { bornAt: undefined })).toEqual(false);
    expect(isDifferentIncarnation(engineEntry("engine"), { bornAt: 100 })).toEqual(false);
  });

  // Start times come from clocks that may step, so they don't order incarnations.
  it("is replaced by the incarnation that is registered next, also if that has an earlier start time", () => {
    fc.assert(
      fc.property(fc.array(fc.nat({ max: 5 }), { minLength: 1, maxLength: 20 }), (starts) => {
        const table = createReplicaTable();
        for (const bornAt of starts) {
          table.put(incarnation(bornAt));
          const known = table.all().filter(({ entry }) => entry.registeredAs === "engine");
          expect(known.map(({ entry }) => entry.id)).toEqual([`engine/${bornAt}`]);
          expect(table.getByKey(replicaKeyOf(`engine/${bornAt}`))?.entry.bornAt).toEqual(bornAt);
          expect(table.getByName("engine")?.entry.bornAt).toEqual(bornAt);
          expect(table.departureOf(`engine/${bornAt}`)).toEqual(undefined);
        }
        const last = starts.at(-1) ?? 0;
        expect(table.remove("engine")).toEqual(true);
        expect(table.get(`engine/${last}`)).toEqual(undefined);
        expect(table.departureOf(`engine/${last}`)).toEqual("gone");
      }),
    );
  });
});

describe("ReplicaTable registrations", () => {
  it("count as a change where they affect which replicas get work, but not where only weights change", () => {
    const table = createReplicaTable();
    expect(table.put(engineEntry("engine"))).toEqual(true);
    expect(table.put(engineEntry("engine", { weights: new Map([["m", 2]]) }))).toEqual(false);
    expect(table.get("engine")?.weights.get("m")).toEqual(2);
    expect(table.put(engineEntry("engine", { isDraining: true }))).toEqual(true);
    expect(table.put(engineEntry("engine", { isDraining: true }))).toEqual(false);
    expect(table.remove("engine")).toEqual(true);
    expect(table.remove("engine")).toEqual(false);
  });
});

describe("a replica that reported draining", () => {
  const isServing = (table: ReturnType<typeof createReplicaTable>): boolean =>
    table.serving("engines").length > 0;

  it("keeps draining when the registry lists it as ready, removes it and lists it again", () => {
    const table = createReplicaTable();
    table.put(incarnation(100));
    expect(table.markDraining("engine/100", drainingAnswer)).toEqual(true);
    expect(table.markDraining("engine/100", drainingAnswer)).toEqual(false);
    table.put(incarnation(100));
    expect(isServing(table)).toEqual(false);
    table.remove("engine");
    table.put(incarnation(100));
    expect(isServing(table)).toEqual(false);
    table.put(incarnation(50));
    table.put(incarnation(100));
    expect(isServing(table)).toEqual(false);
    expect(table.get("engine/100")?.draining).toEqual(drainingAnswer);
  });

  it("keeps draining if only its key was known when it reported so", () => {
    const table = createReplicaTable();
    expect(table.markKeyDraining(replicaKeyOf("engine/100"), drainingAnswer)).toEqual(true);
    expect(table.markDraining("engine/100", drainingAnswer)).toEqual(false);
    table.put(incarnation(100));
    expect(isServing(table)).toEqual(false);
  });

  it("keeps draining if it reported so while it was missing from the registry", () => {
    const table = createReplicaTable();
    expect(table.markDraining("engine/100", drainingAnswer)).toEqual(true);
    table.put(incarnation(100));
    expect(isServing(table)).toEqual(false);
  });

  it("gets new work as a new incarnation at the same address", () => {
    const table = createReplicaTable();
    table.put(incarnation(100));
    table.markDraining("engine/100", drainingAnswer);
    table.put(incarnation(200));
    expect(isServing(table)).toEqual(true);
    table.put(engineEntry("other", { address: incarnation(100).address }));
    expect(table.serving("engines").length).toEqual(2);
  });
});
