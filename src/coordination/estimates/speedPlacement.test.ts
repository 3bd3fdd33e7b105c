import { describe, it } from "node:test";
import { expect } from "earl";
import {
  bounds,
  configurationOf,
  engineService,
  pageOf,
  streamRoute,
} from "../../../tests/support/forwardingFixture.ts";
import { startSpeedSimulation, usualRate } from "../../../tests/support/speedSimulation.ts";
import { createRouteTable } from "../../state/forwarding/routeTable.ts";
import { createCacheHolders } from "../forwarding/cacheHolders.ts";
import { createConfigurationState } from "../forwarding/configurationState.ts";
import { defaultLoadPolicy } from "../forwarding/loadPolicy.ts";
import { weightedPriorityOf } from "../admission/urgency.ts";
import { createEnginePlacement } from "../placement/enginePlacement.ts";
import { createReplicaEstimates } from "./replicaEstimates.ts";
import type { ReplicaEstimates } from "./replicaEstimates.ts";

/** The uneven deployment at half of its size and 1.6 times its load. Times are milliseconds. */
const deployment = {
  routerCount: 30,
  speeds: Array.from({ length: 21 }, (_, index) => (index % 3 === 2 ? 1.7 : 0.7)),
  kinds: [
    { tokens: 12_000, perSecond: 54, objective: 819, priority: 1 },
    { tokens: 2_400, perSecond: 215, objective: 410, priority: 0 },
  ],
  duration: 9_000,
  warmUp: 3_000,
} as const;

/** Time after which the answers of owners are used, milliseconds. */
const answerTime = 4;

/** - `assumed`: as without the setting. - `learned`: under load. - `true`: the engines' own speeds. */
type SpeedSource = "assumed" | "learned" | "true";

/** @returns Prompts with a first token by their objective, as a share of all that arrived after the warm-up. */
const shareInTime = (source: SpeedSource, seed: number): number => {
  const simulation = startSpeedSimulation({ ...deployment, seed, isLarge: true, outstandingPrompts: 0 });
  const { clock, engines, routers, random } = simulation;
  const startedAt = clock.monotonic();
  const speedOf = new Map(engines.map((engine) => [engine.id, engine]));
  const configuration = createConfigurationState(clock);
  configuration.apply(pageOf({ kind: "configuration", configuration: configurationOf(1) }));
  const estimatesOf = (learned: ReplicaEstimates): ReplicaEstimates => {
    if (source === "learned") return learned;
    const assumed = createReplicaEstimates();
    if (source === "assumed") return assumed;
    return { ...assumed, prefillRate: (id) => (speedOf.get(id)?.speed ?? 0) * usualRate };
  };
  const placements = new Map(
    routers.map((router) => {
      const estimates = estimatesOf(router.estimates);
      const placement = createEnginePlacement({
        replicas: router.replicas,
        estimates,
        clock,
        random: random.uniform,
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
      return [router, { placement, estimates }] as const;
    }),
  );
  let sent = 0;
  let inTime = 0;
  const arrive = ({ tokens, objective, priority }: (typeof deployment.kinds)[number]): void => {
    const arrivedAt = clock.monotonic();
    const router = simulation.anyRouter();
    const used = placements.get(router);
    if (used === undefined) return;
    const { placement, estimates } = used;
    const prompt = {
      model: "m",
      tokens,
      answerTokens: 40,
      parts: [{ id: `${arrivedAt} ${router.self.name}`, tokens }],
    };
    const route = { ...streamRoute, latencyObjective: objective, priority };
    const admission = {
      table: createRouteTable(configurationOf(1)),
      route,
      service: engineService,
      organisation: undefined,
    };
    const candidates = router.replicas.serving("engines");
    const { replicas } = placement.shortlist(prompt, admission, candidates);
    void router.owners.query(replicas, [], 0);
    clock.after(answerTime, () => {
      const choice = placement.choose(prompt, admission, candidates, () => 0, replicas);
      const engine = typeof choice === "string" ? undefined : speedOf.get(choice.replica.entry.id);
      if (typeof choice === "string" || engine === undefined) return;
      const isCounted = arrivedAt - startedAt > deployment.warmUp;
      const wasIdle = choice.replica.requests + choice.replica.peerTotals.requests === 0;
      const sentAt = clock.monotonic();
      if (isCounted) sent += 1;
      simulation.send(router, engine, tokens, false, () => {
        const now = clock.monotonic();
        if (wasIdle) estimates.learnPrefill(engine.id, tokens, now - sentAt);
        if (isCounted && now - arrivedAt <= objective) inTime += 1;
      });
    });
  };
  const schedule = (kind: (typeof deployment.kinds)[number]): void => {
    arrive(kind);
    clock.after(random.exponential(1_000 / kind.perSecond), () => schedule(kind));
  };
  deployment.kinds.forEach(schedule);
  simulation.run(deployment.duration);
  return inTime / sent;
};

describe("placement by speeds learned under load", () => {
  for (const seed of [1, 2]) {
    // Engines of unequal speed got equal shares, so that the slow ones were late.
    it(`answers 0.95 or more of what true speeds allow in time (seed ${seed})`, () => {
      const [assumed, learned, best] = (["assumed", "learned", "true"] as const).map((source) =>
        shareInTime(source, seed),
      );
      expect(learned ?? 0).toBeGreaterThanOrEqual(0.95 * (best ?? 1));
      expect(learned ?? 0).toBeGreaterThanOrEqual(assumed ?? 1);
    });
  }
});
