import { describe, it } from "node:test";
import { expect } from "earl";
import type { CacheStore, Prompt } from "../../protocol/forwarding/types.ts";
import { createReplicaTable } from "../../state/forwarding/replicaTable.ts";
import { createRouteTable } from "../../state/forwarding/routeTable.ts";
import {
  bounds,
  configurationOf,
  engineEntry,
  engineService,
  pageOf,
  streamRoute,
} from "../../../tests/support/forwardingFixture.ts";
import { createManualClock } from "../manualClock.ts";
import { createCacheHolders } from "../forwarding/cacheHolders.ts";
import { createConfigurationState } from "../forwarding/configurationState.ts";
import type { BatchMemory } from "./batchMemory.ts";
import { createBatchMemory } from "./batchMemory.ts";
import { createEnginePlacement } from "./enginePlacement.ts";
import { weightedPriorityOf } from "../admission/urgency.ts";
import { defaultLoadPolicy } from "../forwarding/loadPolicy.ts";
import { createReplicaEstimates } from "../estimates/replicaEstimates.ts";
import { toNetworkAddress } from "../../protocol/networkAddress.ts";

const prompt = (tokens: number, course = "course"): Prompt => ({
  model: "m",
  tokens,
  answerTokens: 80,
  parts: [
    { id: "rules", tokens: 500 },
    { id: course, tokens: 500 },
    { id: `own-${tokens}`, tokens: tokens - 1_000 },
  ],
});

/**
 * @param isShortlisted - Whether only the shortlist is compared instead of all engines.
 * @param lossShare - Share of parts that were lost before they were used again.
 * @param memory - Counts the memory of running requests, if it is counted.
 * @param store - The cache store, if there is one.
 */
const create = (
  ids: readonly string[],
  isShortlisted = false,
  {
    lossShare = 0,
    store = undefined as CacheStore | undefined,
    memory = undefined as BatchMemory | undefined,
    random = Math.random,
    packingLimit = Number.POSITIVE_INFINITY,
  } = {},
) => {
  const clock = createManualClock();
  const replicas = createReplicaTable();
  for (const id of ids) replicas.put(engineEntry(id));
  const configuration = createConfigurationState(clock);
  configuration.apply(pageOf({ kind: "configuration", configuration: configurationOf(1) }));
  const holders = createCacheHolders({ clock, computedTokens: () => 0, memoryTokens: () => 200_000 });
  const estimates = createReplicaEstimates();
  const placement = createEnginePlacement({
    replicas,
    configuration,
    holders,
    estimates,
    clock,
    bounds,
    findStore: () => store,
    saving: { lossShare: () => lossShare },
    policy: defaultLoadPolicy,
    memory,
    priorityOf: weightedPriorityOf,
    packingLimit: () => packingLimit,
    organisationKey: () => 0,
    random,
  });
  const table = createRouteTable(configurationOf(1));
  const admission = { table, route: streamRoute, service: engineService, organisation: undefined };
  const choose = (wanted: Prompt) => {
    const serving = replicas.serving("engines");
    const among = isShortlisted ? placement.shortlist(wanted, admission, serving).replicas : [];
    const found = placement.choose(wanted, admission, serving, () => 0, among);
    if (typeof found === "string") throw new Error(found);
    return found;
  };
  const state = (id: string) => {
    const found = replicas.get(id);
    if (found === undefined) throw new Error(id);
    return found;
  };
  const publishWeights = (version: number): void =>
    configuration.apply(pageOf({ kind: "weights", target: { model: "m", version } }));
  return { clock, replicas, holders, placement, admission, choose, state, publishWeights };
};

describe("placement among a shortlist", () => {
  const ids = Array.from({ length: 60 }, (_, index) => `engine-${index}`);

  it("spreads prompts without shared parts over all engines instead of the few that look idle", () => {
    const { choose, state } = create(ids, true);
    // All but two look busy by outdated work reports.
    for (const id of ids.slice(2)) state(id).requests = 6;
    const chosen = new Map<string, number>();
    for (let index = 0; index < 600; index += 1) {
      const { id } = choose(prompt(3_000, `course-${index}`)).replica.entry;
      chosen.set(id, (chosen.get(id) ?? 0) + 1);
    }
    expect(chosen.size).toBeGreaterThan(40);
  });

  it("still sends prompts to engines that cache their parts", () => {
    const { choose, holders } = create(ids, true);
    const wanted = prompt(3_000);
    const first = choose(wanted);
    holders.notePrompt(first.cacheSalt ?? "", wanted, "engine-7", true);
    const found = Array.from({ length: 50 }, () => choose(wanted).replica.entry.id);
    const atHolders = found.filter((id) => id === "engine-7" || id === found[0]).length;
    expect(atHolders).toBeGreaterThan(25);
  });

  it("doesn't overload the few engines that run new weights while old ones may still be used", () => {
    const { choose, replicas, publishWeights } = create(ids, true);
    publishWeights(2);
    for (const id of ids.slice(0, 3)) replicas.noteWeights(id, "m", 2);
    const chosen = new Map<string, number>();
    for (let index = 0; index < 600; index += 1) {
      const { replica, promptTokens } = choose(prompt(3_000, `course-${index}`));
      replica.requests += 1;
      replica.promptTokens[3] = (replica.promptTokens[3] ?? 0) + promptTokens;
      chosen.set(replica.entry.id, (chosen.get(replica.entry.id) ?? 0) + 1);
    }
    expect(Math.max(...chosen.values())).toBeLessThan(30);
  });

  it("copies a part that no local engine caches from its expected engine in another data centre", () => {
    const { choose, replicas } = create([], true);
    for (let index = 0; index < 60; index += 1) {
      const dataCentre = index % 4 === 0 ? "here" : `other-${index % 4}`;
      replicas.put(
        engineEntry(`engine-${index}`, { dataCentre, address: toNetworkAddress(`10.0.1.${index}:8000`) }),
      );
    }
    const dataCentres = new Set<string>();
    for (let index = 0; index < 100; index += 1) {
      const { replica, fetchFrom } = choose(prompt(3_000, `course-${index}`));
      if (replica.entry.dataCentre !== "here") continue;
      const source = replicas.all().find(({ entry }) => entry.address === fetchFrom);
      expect(source).not.toEqual(undefined);
      expect(source).not.toEqual(replica);
      dataCentres.add(source?.entry.dataCentre ?? "");
    }
    expect(dataCentres.has("other-1") && dataCentres.has("other-2") && dataCentres.has("other-3")).toEqual(
      true,
    );
  });

  it("uses the only engine that runs the newest weights once the old ones have expired", () => {
    const { clock, choose, replicas, publishWeights } = create(ids, true);
    publishWeights(2);
    replicas.noteWeights("engine-9", "m", 2);
    clock.advanceTo(clock.monotonic() + bounds.weights);
    for (let index = 0; index < 50; index += 1) {
      expect(choose(prompt(3_000, `course-${index}`)).replica.entry.id).toEqual("engine-9");
    }
  });
});

describe("placement where parts are lost for lack of memory", () => {
  const shared = (own: number): Prompt => ({
    model: "m",
    tokens: 6_000 + own,
    answerTokens: 20,
    parts: [
      { id: "opening", tokens: 2_500 },
      { id: "subject", tokens: 3_500 },
      { id: `own-${own}`, tokens: own },
    ],
  });

  /** The engine chosen for a prompt whose home has 80 ms of work while another engine is idle. */
  const chosenWith = (lossShare: number) => {
    const { choose, holders, state } = create(["a", "b"], false, { lossShare });
    const home = choose(shared(100)).replica.entry.id;
    holders.notePrompt("m/1/", shared(100), home, true);
    state(home).promptTokens[3] = 3_200;
    return { home, chosen: choose(shared(200)).replica.entry.id };
  };

  it("stays with the engine that caches the parts, and moves to an idle one if no parts are lost", () => {
    const lossy = chosenWith(0.5);
    expect(lossy.chosen).toEqual(lossy.home);
    const ample = chosenWith(0);
    expect(ample.chosen === ample.home).toEqual(false);
  });

  it("copies from the store what no engine caches, and names it where the engine may have evicted parts", () => {
    const store = { address: toNetworkAddress("10.9.0.1:9000"), dataCentre: "here", linkMegabits: 360_000 };
    const { choose, holders } = create(["a", "b"], false, { store });
    const keys = holders.notePrompt("m/1/", shared(100), "a", true);
    expect(keys.length).toEqual(2);
    holders.forget("a");
    for (const part of ["opening", "subject"]) {
      holders.noteStoreChange(store.address, { isStored: true, salt: "m/1/", part });
    }
    const copied = choose(shared(200));
    expect([copied.fetchFrom, copied.sharedParts?.isSaved, copied.sharedParts?.wasUsed]).toEqual([
      store.address,
      true,
      true,
    ]);
    holders.notePrompt("m/1/", shared(200), copied.replica.entry.id, true);
    expect(choose(shared(300)).fetchFrom).toEqual(store.address);
  });

  it("waits for a part that another engine is computing, but not for one that can be copied", () => {
    const { choose, holders } = create(["a", "b"]);
    const [, subject] = holders.notePrompt("m/1/", shared(100), "a", false);
    expect(choose(shared(200)).awaitedPart).toEqual(subject);
    holders.notePrompt("m/1/", shared(100), "a", true);
    expect(choose(shared(200)).awaitedPart).toEqual(undefined);
  });
});

describe("placement on engines", () => {
  it("is the same at every router with the same view, and copies from the engine that caches the parts", () => {
    const first = create(["a", "b", "c"]);
    const second = create(["c", "b", "a"]);
    const home = first.choose(prompt(2_000)).replica.entry.id;
    expect(second.choose(prompt(3_000)).replica.entry.id).toEqual(home);
    const other = ["a", "b", "c"].find((id) => id !== home) ?? "";
    first.holders.notePrompt("m/1/", prompt(2_000), home, true);
    first.state(home).promptTokens[4] = 50_000;
    const choice = first.choose(prompt(2_000));
    expect(choice.replica.entry.id === home).toEqual(false);
    expect(choice.fetchFrom).toEqual(first.state(home).entry.address);
    expect(first.state(other).isUnreachable).toEqual(false);
  });

  it("doesn't copy from an unreachable replica", () => {
    const { choose, holders, state } = create(["a", "b"]);
    const home = choose(prompt(2_000)).replica.entry.id;
    holders.notePrompt("m/1/", prompt(2_000), home, true);
    state(home).isUnreachable = true;
    state(home).promptTokens[0] = 100_000;
    expect(choose(prompt(2_000)).fetchFrom).toEqual(undefined);
  });

  it("counts less urgent prompts up to a limit", () => {
    const { choose, state } = create(["a", "b"]);
    const home = choose(prompt(2_000)).replica.entry.id;
    state(home).promptTokens[9] = 50_000;
    const choice = choose(prompt(2_000));
    expect(choice.replica.entry.id === home).toEqual(false);
    const other = choice.replica.entry.id;
    // Urgent work counts in full, so a lot of it costs more than any amount of less urgent work.
    state(other).promptTokens[0] = 40_000;
    expect(choose(prompt(2_000)).replica.entry.id).toEqual(home);
  });

  it("gives a prompt that will be late anyway the lowest priority", () => {
    const { choose, state } = create(["a"]);
    expect(choose(prompt(2_000)).priority).toEqual(3);
    state("a").promptTokens[0] = 60_000;
    expect(choose(prompt(2_000)).priority).toEqual(9);
  });

  // Admission would refuse the prompt at a contended engine that it was packed onto, while another one has room.
  it("packs long prompts onto busy engines only up to the limit", () => {
    const chosenWith = (packingLimit: number): string => {
      const { choose, state } = create(["a", "b"], false, { packingLimit });
      const home = choose(prompt(8_000)).replica.entry.id;
      state(home).promptTokens[3] = 8_000;
      return choose(prompt(8_000)).replica.entry.id === home ? "busy" : "idle";
    };
    expect(chosenWith(Number.POSITIVE_INFINITY)).toEqual("busy");
    expect(chosenWith(250)).toEqual("idle");
  });

  it("starts nothing on older weights after their cutoff", () => {
    const { clock, choose, publishWeights, replicas, placement, admission } = create(["a", "b"]);
    publishWeights(2);
    expect(choose(prompt(2_000)).weightsVersion).toEqual(1);
    clock.advanceTo(9_000);
    expect(placement.choose(prompt(2_000), admission, replicas.serving("engines"), () => 0, [])).toEqual(
      "old_weights",
    );
    replicas.noteWeights("b", "m", 2);
    const choice = choose(prompt(2_000));
    expect([choice.replica.entry.id, choice.weightsVersion, choice.cacheSalt]).toEqual(["b", 2, "m/2/"]);
    // Each version has its own cutoff: a third one does not extend the first one's, and the second gets its full time.
    publishWeights(3);
    expect(choose(prompt(2_000)).replica.entry.id).toEqual("b");
    const onFirst = replicas.serving("engines").filter(({ entry }) => entry.id === "a");
    expect(placement.choose(prompt(2_000), admission, onFirst, () => 0, [])).toEqual("old_weights");
  });
});

describe("placement that counts the memory of running requests", () => {
  const ids = ["a", "b", "c"];

  it("prefers a replica with room, and the one that lacks least if none has room", () => {
    const { choose, state } = create(ids, false, { memory: createBatchMemory() });
    const first = choose(prompt(12_000)).replica.entry.id;
    const [second = "", third = ""] = ids.filter((id) => id !== first);
    state(first).reservedTokens = 195_000;
    state(second).peerTotals.reservedTokens = 195_000;
    expect(choose(prompt(12_000)).replica.entry.id).toEqual(third);
    state(third).reservedTokens = 250_000;
    state(first).reservedTokens = 220_000;
    expect(choose(prompt(12_000)).replica.entry.id).toEqual(second);
  });

  it("sees what this router has sent in the same moment", () => {
    const { choose, state } = create(["a", "b"], false, { memory: createBatchMemory() });
    for (const id of ["a", "b"]) state(id).reservedTokens = 180_000;
    const first = choose(prompt(12_000));
    expect(first.reservedTokens).toEqual(12_040);
    // As the attempt counts it when it sends the request.
    first.replica.reservedTokens += first.reservedTokens;
    expect(choose(prompt(12_000)).replica === first.replica).toEqual(false);
  });

  it("doesn't send a prompt to a replica whose queue would have it refused instead of one that lacks memory", () => {
    const { choose, state } = create(["a", "b"], false, { memory: createBatchMemory() });
    state("a").reservedTokens = 195_000;
    // 800 ms of work ahead, more than 0.7 of the objective of 1,000 ms.
    state("b").promptTokens[0] = 32_000;
    const { replica, queueWait } = choose(prompt(12_000));
    expect([replica.entry.id, queueWait < 100]).toEqual(["a", true]);
  });

  it("decides without it as if no memory were reserved, and reserves nothing", () => {
    const random = (): number => 0.5;
    const full = create(ids, false, { random });
    const empty = create(ids, false, { random });
    full.state("a").reservedTokens = 500_000;
    for (let index = 0; index < 100; index += 1) {
      const wanted = prompt(2_000 + index * 500, `course-${index}`);
      const [found, expected] = [full.choose(wanted), empty.choose(wanted)];
      expect(found.reservedTokens).toEqual(0);
      expect([found.replica.entry.id, found.predictedWait]).toEqual([
        expected.replica.entry.id,
        expected.predictedWait,
      ]);
      for (const { replica, promptTokens } of [found, expected])
        replica.promptTokens[3] = (replica.promptTokens[3] ?? 0) + promptTokens;
    }
  });
});
