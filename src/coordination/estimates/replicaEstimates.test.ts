import { describe, it } from "node:test";
import { expect } from "earl";
import { createRandom } from "../../../bench/model/random.ts";
import {
  configurationOf,
  engineEntry,
  engineService,
  bounds,
  pageOf,
  streamRoute,
} from "../../../tests/support/forwardingFixture.ts";
import type { CallerRequest, Prompt } from "../../protocol/forwarding/types.ts";
import { createRouteTable } from "../../state/forwarding/routeTable.ts";
import { createReplicaTable } from "../../state/forwarding/replicaTable.ts";
import { createCacheHolders } from "../forwarding/cacheHolders.ts";
import { createConfigurationState } from "../forwarding/configurationState.ts";
import { assumedServiceTime, smoothingFactor } from "../forwarding/constants.ts";
import { defaultLoadPolicy } from "../forwarding/loadPolicy.ts";
import type { Admission } from "../forwarding/types.ts";
import { createManualClock } from "../manualClock.ts";
import { weightedPriorityOf } from "../admission/urgency.ts";
import { createEnginePlacement } from "../placement/enginePlacement.ts";
import { createPlacement } from "../placement/placement.ts";
import { createAvailability } from "../replicaReports/availability.ts";
import { estimateLifetime } from "./ageing.ts";
import { createReplicaEstimates } from "./replicaEstimates.ts";

const ids = ["replica-0", "replica-1", "replica-2", "replica-3"] as const;

const noSpeeds = { rateOf: () => undefined, medianRate: () => undefined };

const create = (ages: boolean) => {
  const clock = createManualClock(1_000);
  const replicas = createReplicaTable();
  for (const id of ids) replicas.put(engineEntry(id, { slots: 8 }));
  const estimates = createReplicaEstimates(ages ? { replicas, clock, speeds: noSpeeds } : undefined);
  return { clock, replicas, estimates };
};

const admissionOf = (kind: "plain" | "engine"): Admission => ({
  route: streamRoute,
  service: kind === "plain" ? { ...engineService, engine: undefined } : engineService,
  organisation: undefined,
  table: createRouteTable(configurationOf(1)),
});

const createPlacementFor = (ages: boolean, random: () => number) => {
  const created = create(ages);
  const { clock, replicas, estimates } = created;
  const configuration = createConfigurationState(clock);
  configuration.apply(pageOf({ kind: "configuration", configuration: configurationOf(1) }));
  const shared = { replicas, estimates, clock, random };
  const engines = createEnginePlacement({
    ...shared,
    configuration,
    holders: createCacheHolders({ clock, computedTokens: () => 0, memoryTokens: () => 200_000 }),
    bounds,
    findStore: () => undefined,
    saving: { lossShare: () => 0 },
    memory: undefined,
    priorityOf: weightedPriorityOf,
    packingLimit: () => Number.POSITIVE_INFINITY,
    organisationKey: () => 0,
    policy: defaultLoadPolicy,
  });
  const availability = createAvailability({ replicas, clock, countRouters: () => 1, random });
  return { ...created, placement: createPlacement({ ...shared, availability, dataCentre: "here", engines }) };
};

const promptNumber = (number: number): Prompt => ({
  model: "m",
  tokens: 2_400,
  answerTokens: 40,
  parts: [{ id: `own-${number}`, tokens: 2_400 }],
});

/** Times of the replay, milliseconds: one replica is slow for a moment, and is as fast as the others afterwards. */
const times = { slowFrom: 3_000, slowUntil: 6_000, end: 12_000 } as const;

const slowFactor = 12;

/** Mean time between two requests, milliseconds. */
const intervals = { plain: 20, engine: 60 } as const;

/**
 * Replays requests at four equal replicas.
 *
 * @returns The share of the first replica among the requests that began later than 3 s after its slow moment.
 */
const shareAfterSlowMoment = (kind: "plain" | "engine", ages: boolean, seed: number): number => {
  const random = createRandom(seed, kind);
  const { clock, placement, estimates } = createPlacementFor(ages, random.uniform);
  const startedAt = clock.monotonic();
  const counts = new Map<string, number>();
  let number = 0;
  const begin = (): void => {
    const now = clock.monotonic() - startedAt;
    number += 1;
    const prompt = kind === "plain" ? undefined : promptNumber(number);
    const choice = placement.choose(
      { prompt } as CallerRequest,
      admissionOf(kind),
      new Set(),
      undefined,
      "all",
    );
    if (typeof choice === "string") throw new Error(choice);
    const { replica, promptTokens } = choice;
    const { id } = replica.entry;
    if (now > times.slowUntil + estimateLifetime) counts.set(id, (counts.get(id) ?? 0) + 1);
    const isSlow = id === ids[0] && now >= times.slowFrom && now < times.slowUntil;
    const wasIdle = replica.requests === 0;
    const jitter = 0.75 + 0.5 * random.uniform();
    const duration = 60 * (1 + replica.requests * 0.05) * jitter * (isSlow ? slowFactor : 1);
    replica.requests += 1;
    replica.promptTokens[0] = (replica.promptTokens[0] ?? 0) + promptTokens;
    clock.after(duration, () => {
      replica.requests -= 1;
      replica.promptTokens[0] = (replica.promptTokens[0] ?? 0) - promptTokens;
      if (kind === "plain") estimates.learnServiceTime(id, duration);
      else if (wasIdle) estimates.learnPrefill(id, promptTokens, duration);
    });
    clock.after(random.exponential(intervals[kind]), begin);
  };
  begin();
  clock.advanceTo(startedAt + times.end);
  const all = [...counts.values()].reduce((sum, count) => sum + count, 0);
  return (counts.get(ids[0]) ?? 0) / all;
};

const seeds = Array.from({ length: 20 }, (_, index) => index + 1);

describe("estimates of replicas", () => {
  for (const kind of ["plain", "engine"] as const) {
    // Without ageing, a replica whose estimate became bad gets no requests, and only requests could correct it.
    it(`give a ${kind} replica its share again within 3 s of a slow moment`, () => {
      const without = seeds.map((seed) => shareAfterSlowMoment(kind, false, seed));
      const shares = seeds.map((seed) => shareAfterSlowMoment(kind, true, seed));
      expect(without.some((share) => share === 0)).toEqual(true);
      expect(Math.min(...shares)).toBeGreaterThanOrEqual(0.6 / ids.length);
    });
  }

  it("return to the median of the service within 3 s without samples, and not before", () => {
    const { clock, estimates } = create(true);
    const [slow, ...others] = ids;
    for (let count = 0; count < 40; count += 1) {
      clock.advanceTo(clock.monotonic() + 20);
      for (const id of others) estimates.learnServiceTime(id, 50);
      estimates.learnServiceTime(slow, 200);
    }
    const atFirst = estimates.serviceTime(slow);
    expect(atFirst).toBeGreaterThan(150);
    clock.advanceTo(clock.monotonic() + 1_000);
    expect(estimates.serviceTime(slow)).toBeGreaterThan(0.8 * atFirst);
    clock.advanceTo(clock.monotonic() + estimateLifetime - 1_000);
    expect(estimates.serviceTime(slow)).toEqual(estimates.serviceTime(others[0]));
  });

  it("start from the median for a new incarnation and for new weights", () => {
    const { clock, replicas, estimates } = create(true);
    const [slow, ...others] = ids;
    for (let count = 0; count < 40; count += 1) {
      for (const id of others) estimates.learnPrefill(id, 6_000, 100);
      estimates.learnPrefill(slow, 6_000, 300);
    }
    clock.advanceTo(clock.monotonic() + 300);
    const median = estimates.prefillRate(others[0]);
    expect(estimates.prefillRate(slow)).toBeLessThan(median / 2);
    replicas.put(engineEntry("restarted", { registeredAs: slow }));
    expect(estimates.prefillRate("restarted")).toEqual(median);
    for (let count = 0; count < 40; count += 1) estimates.learnPrefill("restarted", 6_000, 300);
    expect(estimates.prefillRate("restarted")).toBeLessThan(median / 2);
    replicas.noteWeights("restarted", "m", 2);
    expect(estimates.prefillRate("restarted")).toEqual(median);
  });

  it("change by less than a third with one answer that takes a hundred times as long", () => {
    const { clock, estimates } = create(true);
    for (let count = 0; count < 40; count += 1) {
      clock.advanceTo(clock.monotonic() + 20);
      for (const id of ids) estimates.learnServiceTime(id, 50);
    }
    estimates.learnServiceTime(ids[0], 5_000);
    expect(estimates.serviceTime(ids[0])).toBeLessThan(50 * 1.33);
  });

  it("are the moving averages of all samples without ageing, so that deployments without it decide as before", () => {
    const { clock, estimates } = create(false);
    let expected = assumedServiceTime;
    for (const sample of [40, 300, 20, 35]) {
      estimates.learnServiceTime(ids[0], sample);
      expected += (Math.min(sample, expected * 4) - expected) * smoothingFactor;
      clock.advanceTo(clock.monotonic() + 10_000);
      expect(estimates.serviceTime(ids[0])).toEqual(expected);
    }
    expect(estimates.serviceTime(ids[1])).toEqual(assumedServiceTime);
  });
});
