import { describe, it } from "node:test";
import { setImmediate as settled } from "node:timers/promises";
import { expect } from "earl";
import * as fc from "fast-check";
import { engineEntry } from "../../../tests/support/forwardingFixture.ts";
import { MemoryNetwork } from "../../../tests/support/MemoryNetwork.ts";
import { createReplicaTable } from "../../state/forwarding/replicaTable.ts";
import { organisationTokensAt, totalRequests } from "../../state/forwarding/replicaState.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import { createCacheHolders } from "../forwarding/cacheHolders.ts";
import { createManualClock } from "../manualClock.ts";
import { answerTimeout, reportLifetime, reportRepeatInterval, unreachableOwnerTimes } from "./constants.ts";
import { createReplicaOwners } from "./replicaOwners.ts";

const engineIds = ["engine-0", "engine-1", "engine-2"] as const;

const create = (routerCount: number) => {
  const clock = createManualClock(1_000);
  const network = new MemoryNetwork(clock);
  const entries = Array.from({ length: routerCount }, (_, index) => ({
    name: `router-${index}`,
    incarnation: `process-${index}`,
    dataCentre: "here",
    address: "10.0.0.1",
    port: index + 1,
  }));
  const start = (self: (typeof entries)[number], incarnation = self.incarnation) => {
    const replicas = createReplicaTable();
    for (const id of engineIds) replicas.put(engineEntry(id));
    const holders = createCacheHolders({ clock, computedTokens: () => 0, memoryTokens: () => 100_000 });
    const others = entries
      .filter((entry) => entry !== self)
      .map((entry) => ({ ...entry, at: { address: entry.address, port: entry.port } }));
    const owners = createReplicaOwners({
      self: { ...self, incarnation },
      link: network.open(self.port),
      clock,
      replicas,
      holders,
      peers: { isLarge: () => true, serving: () => others as never },
      cacheStores: () => [],
      reportsUsedParts: true,
    });
    const replica = (id: string): ReplicaState => {
      const found = replicas.get(id);
      if (found === undefined) throw new Error(id);
      return found;
    };
    const begin = (id: string, tokens: number): void => {
      const state = replica(id);
      state.requests += 1;
      state.promptTokens[3] = (state.promptTokens[3] ?? 0) + tokens;
      owners.reports.noteRequestSent(state);
    };
    const end = (id: string, tokens: number): void => {
      const state = replica(id);
      state.requests -= 1;
      state.promptTokens[3] = (state.promptTokens[3] ?? 0) - tokens;
      owners.reports.noteWorkChanged(state);
    };
    return { self, replicas, holders, owners, replica, begin, end };
  };
  const routers = entries.map((self) => start(self));
  const run = async (milliseconds: number): Promise<void> => {
    const end = clock.monotonic() + milliseconds;
    for (let at = clock.nextTimer(); at !== undefined && at <= end; at = clock.nextTimer()) {
      clock.advanceTo(at);
      await settled();
    }
    clock.advanceTo(end);
    await settled();
  };
  const ownerOf = (id: string) => {
    const owner = routers.find(({ owners, replica }) => owners.isOwnerOf(replica(id)));
    if (owner === undefined) throw new Error(`no router owns ${id}`);
    return owner;
  };
  const others = (id: string) => routers.filter((router) => router !== ownerOf(id));
  /** Asks about one engine. */
  const ask = async (
    router: (typeof routers)[number],
    id: string,
    keys: readonly number[] = [],
    organisation = 0,
  ) => {
    let known: readonly ReplicaState[] | undefined;
    void router.owners.query([router.replica(id)], keys, organisation).then((answered) => (known = answered));
    await run(answerTimeout.longest + 5);
    if (known === undefined) throw new Error("the question is still open");
    return known.length > 0;
  };
  return { clock, network, entries, routers, start, run, ownerOf, others, ask };
};

describe("owners of replicas", () => {
  it("are the same for all routers, one for each replica", () => {
    const { routers } = create(12);
    for (const id of engineIds) {
      expect(routers.filter(({ owners, replica }) => owners.isOwnerOf(replica(id))).length).toEqual(1);
    }
  });

  it("report work to an asker that others began a moment ago", async () => {
    const { others, ask, run } = create(12);
    const [first, second] = others("engine-0");
    if (first === undefined || second === undefined) throw new Error("routers are missing");
    first.begin("engine-0", 4_000);
    await run(2);
    expect(await ask(second, "engine-0")).toEqual(true);
    expect(totalRequests(second.replica("engine-0"))).toEqual(1);
    expect(second.replica("engine-0").peerTotals.promptTokens[3]).toEqual(4_000);
  });

  it("report that a part was used by another router also after it was evicted, so that it is saved", async () => {
    const { others, ask, run } = create(12);
    const [first, second] = others("engine-0");
    if (first === undefined || second === undefined) throw new Error("routers are missing");
    first.owners.reports.noteHolder(first.replica("engine-0"), 17, "engine-0", true);
    // Longer than a holder is assumed to keep a part that nobody uses.
    await run(70_000);
    await ask(second, "engine-0", [17, 18]);
    expect(second.holders.holdersOf(17)).toEqual([]);
    expect([second.holders.wasUsed(17), second.holders.wasUsed(18)]).toEqual([true, false]);
  });

  it("don't count the asking router's own work twice", async () => {
    const { others, ask, run } = create(12);
    const [first] = others("engine-0");
    if (first === undefined) throw new Error("a router is missing");
    first.begin("engine-0", 4_000);
    await run(2);
    await ask(first, "engine-0");
    expect(totalRequests(first.replica("engine-0"))).toEqual(1);
  });

  it("report the prompts of the asker's organisation and reserved memory, without the asker's own", async () => {
    const { others, ask, run } = create(12);
    const [first, second] = others("engine-0");
    if (first === undefined || second === undefined) throw new Error("routers are missing");
    for (const [router, tokens] of [
      [first, 3_000],
      [second, 1_000],
    ] as const) {
      router.replica("engine-0").organisationTokens.set(7, tokens);
      router.replica("engine-0").organisationTokens.set(8, 500);
      router.replica("engine-0").reservedTokens += 2 * tokens;
      router.begin("engine-0", tokens + 500);
    }
    await run(2);
    await ask(second, "engine-0", [], 7);
    const { peerTotals } = second.replica("engine-0");
    expect([...peerTotals.organisationTokens]).toEqual([[7, 3_000]]);
    expect(organisationTokensAt(second.replica("engine-0"), 7)).toEqual(4_000);
    expect(peerTotals.reservedTokens).toEqual(6_000);
  });

  it("report where prompt parts are computed and kept", async () => {
    const { others, ask, run } = create(12);
    const [first, second] = others("engine-0");
    if (first === undefined || second === undefined) throw new Error("routers are missing");
    first.owners.reports.noteHolder(first.replica("engine-0"), 17, "engine-0", true);
    await run(50);
    await ask(second, "engine-0", [17]);
    expect(second.holders.holdersOf(17)).toEqual([{ holder: "engine-0", isReady: true }]);
  });

  it("are skipped while unreachable, and no router waits for them longer than the timeout", async () => {
    const { network, others, ownerOf, ask, run } = create(12);
    const owner = ownerOf("engine-0");
    const [first, second] = others("engine-0");
    if (first === undefined || second === undefined) throw new Error("routers are missing");
    first.begin("engine-0", 4_000);
    network.freeze(owner.self.port);
    expect(await ask(first, "engine-0")).toEqual(false);
    expect(await ask(second, "engine-0")).toEqual(false);
    // The next candidate receives the repeated report, and answers.
    await run(unreachableOwnerTimes.first / 4);
    first.owners.reports.noteWorkChanged(first.replica("engine-0"));
    await run(60);
    expect(await ask(second, "engine-0")).toEqual(true);
    expect(totalRequests(second.replica("engine-0"))).toEqual(1);
  });

  it("that restart know the work again after one repeated report", async () => {
    const { others, ownerOf, ask, run, start } = create(12);
    const owner = ownerOf("engine-0");
    const [first, second] = others("engine-0");
    if (first === undefined || second === undefined) throw new Error("routers are missing");
    first.begin("engine-0", 4_000);
    await run(2);
    start(owner.self, "process-again");
    await run(reportRepeatInterval + 10);
    await ask(second, "engine-0");
    expect(totalRequests(second.replica("engine-0"))).toEqual(1);
  });

  it("try a connection themselves before they mark a replica unreachable that others report so", async () => {
    const { others, ownerOf, run } = create(12);
    const [first] = others("engine-0");
    if (first === undefined) throw new Error("a router is missing");
    first.replica("engine-0").isUnreachable = true;
    first.begin("engine-0", 100);
    await run(5);
    const state = ownerOf("engine-0").replica("engine-0");
    expect([state.isSuspected, state.isUnreachable]).toEqual([true, false]);
  });

  it("don't pass on answers of an earlier owner after they took over", async () => {
    const { network, others, ownerOf, ask, run } = create(12);
    const owner = ownerOf("engine-0");
    const [first, ...rest] = others("engine-0");
    if (first === undefined) throw new Error("a router is missing");
    first.begin("engine-0", 4_000);
    await run(2);
    for (const router of rest) await ask(router, "engine-0");
    first.end("engine-0", 4_000);
    await run(50);
    network.freeze(owner.self.port);
    // All find the owner unreachable; the next candidate answers from then on.
    for (const router of rest) await ask(router, "engine-0");
    await run(reportLifetime * 2);
    for (const router of rest) {
      await ask(router, "engine-0");
      await ask(router, "engine-0");
      expect(totalRequests(router.replica("engine-0"))).toEqual(0);
    }
  });

  it("drop the work of a router that no longer reports", async () => {
    const { network, others, ownerOf, run } = create(12);
    const [first] = others("engine-0");
    if (first === undefined) throw new Error("a router is missing");
    first.begin("engine-0", 4_000);
    await run(2);
    expect(totalRequests(ownerOf("engine-0").replica("engine-0"))).toEqual(1);
    network.freeze(first.self.port);
    await run(reportLifetime * 2);
    expect(totalRequests(ownerOf("engine-0").replica("engine-0"))).toEqual(0);
  });
});

/** One step of a random schedule. */
const step = fc.oneof(
  fc.record({ kind: fc.constant("begin" as const), router: fc.nat(11), engine: fc.nat(2) }),
  fc.record({ kind: fc.constant("end" as const), router: fc.nat(11), engine: fc.nat(2) }),
  fc.record({ kind: fc.constant("ask" as const), router: fc.nat(11), engine: fc.nat(2) }),
  fc.record({ kind: fc.constant("freeze" as const), router: fc.nat(11) }),
  fc.record({ kind: fc.constant("thaw" as const), router: fc.nat(11) }),
  fc.record({ kind: fc.constant("delay" as const), delay: fc.nat(60) }),
  fc.record({ kind: fc.constant("loss" as const), every: fc.integer({ min: 2, max: 9 }) }),
  fc.record({ kind: fc.constant("noLoss" as const) }),
  fc.record({ kind: fc.constant("run" as const), milliseconds: fc.nat(1_500) }),
);

describe("owners of replicas under random schedules", () => {
  it("never exceed the timeout, and finally know exactly the work in progress", async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 40 }), async (steps) => {
        const { network, routers, run, clock } = create(12);
        const tokens = 1_000;
        const open = new Set<object>();
        for (const each of steps) {
          const router = routers["router" in each ? each.router : 0];
          const id = engineIds["engine" in each ? each.engine : 0];
          if (router === undefined || id === undefined) throw new Error("out of range");
          if (each.kind === "begin") router.begin(id, tokens);
          else if (each.kind === "end" && router.replica(id).requests > 0) router.end(id, tokens);
          else if (each.kind === "ask") {
            const question = { until: clock.monotonic() + answerTimeout.longest };
            open.add(question);
            void router.owners.query([router.replica(id)], [], 0).then(() => {
              open.delete(question);
              expect(clock.monotonic() <= question.until).toEqual(true);
            });
          } else if (each.kind === "freeze") network.freeze(router.self.port);
          else if (each.kind === "thaw") network.thaw(router.self.port);
          else if (each.kind === "delay") network.delay = each.delay;
          else if (each.kind === "loss") network.loseEveryNth = each.every;
          else if (each.kind === "noLoss") network.loseEveryNth = 0;
          else if (each.kind === "run") await run(each.milliseconds);
          // Lets immediate answers arrive before the clock advances.
          await settled();
        }
        // After the faults end, the owners know each request once, and none that has ended.
        network.loseEveryNth = 0;
        network.delay = 1;
        for (const { self } of routers) network.thaw(self.port);
        await run(unreachableOwnerTimes.longest + 2 * reportLifetime);
        expect(open.size).toEqual(0);
        for (const id of engineIds) {
          const owner = routers.find(({ owners, replica }) => owners.isOwnerOf(replica(id)));
          const truth = routers.reduce((sum, { replica }) => sum + replica(id).requests, 0);
          const known = owner?.replica(id);
          if (known === undefined) throw new Error(`no router owns ${id}`);
          expect(totalRequests(known)).toEqual(truth);
          expect((known.promptTokens[3] ?? 0) + (known.peerTotals.promptTokens[3] ?? 0)).toEqual(
            truth * tokens,
          );
        }
      }),
      { seed: 26, numRuns: 60 },
    );
  });
});
