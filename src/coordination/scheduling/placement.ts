/**
 * Chooses an engine for a completion by the predicted time to first token and the prompt tokens to be recomputed.
 * Forwarded requests are placed by `../forwarding/placement.ts`.
 */
import type { ObjectiveConfiguration } from "../../protocol/configuration/schema.ts";
import type { CacheModel, EngineStamp } from "../../state/cacheModel.ts";
import type { EngineDirectory, EngineReplica } from "../../state/engineDirectory.ts";
import type { ConfigurationIndex } from "../configurationIndex.ts";
import type { Affinity, AffinityLearner } from "./affinity.ts";
import { createCandidateLister, isEligible } from "./candidates.ts";
import { createCacheForecast } from "./cacheForecast.ts";
import type { ExpectedLevel } from "./cacheForecast.ts";
import {
  batchSlotShare,
  congestionThreshold,
  minimumFreeShare,
  interactiveFreeSlotShares,
  warmPrefixThreshold,
  maximumPressure,
  latePenalty,
  latePriority,
  longPrefillThreshold,
  lowestPriority,
  overBudgetPriority,
  lateFirstTokenShare,
  pressureReferenceWait,
  roundTripBetweenDataCentres,
  spillFactor,
} from "./constants.ts";
import type { PrefillBudgets } from "./prefillBudgets.ts";
import type { EngineEstimate } from "./engineEstimate.ts";
import type { EngineEstimates } from "./engineEstimates.ts";
import type { HomeConfidence } from "./homeConfidence.ts";
import type { SlotHoldingTimes } from "./slotHoldingTimes.ts";
import type { PriorityMix } from "./priorityMix.ts";
import type { Work } from "./Scheduler.ts";
import type { Shard, ShuffleShards } from "./shuffleShards.ts";

export interface PlacementDependencies {
  readonly directory: EngineDirectory;
  readonly configuration: () => ConfigurationIndex | undefined;
  readonly dataCentre: string;
  readonly liveRouters: () => number;
  readonly cacheModel: CacheModel;
  readonly estimates: EngineEstimates;
  readonly affinityLearner: AffinityLearner;
  readonly shards: ShuffleShards;
  readonly slotHoldingTimes: SlotHoldingTimes;
  readonly priorityMix: PriorityMix;
  readonly homeConfidence: HomeConfidence;
  readonly prefillBudgets: PrefillBudgets;
}

/** What is predicted for a request at one engine. Times are milliseconds. */
export interface Prediction {
  readonly engine: EngineReplica;
  readonly stamp: EngineStamp | undefined;
  readonly estimate: EngineEstimate;
  readonly cachedTokens: number;
  /** The deepest level expected in the engine's cache, judging by this router's own work, if any. */
  readonly expectedLevel: ExpectedLevel | undefined;
  /** The level by which the prompt is placed. */
  readonly affinity: Affinity;
  /** True for a home of that level to which this router has not recently sent the level. */
  readonly isUnobservedHome: boolean;
  /** Wait for this router's own prompts. */
  readonly ownWait: number;
  /** Time until the engine begins to compute the prompt. */
  readonly wait: number;
  readonly prefill: number;
  /** Time from the deadline to the first token; negative if the token arrives in time. */
  readonly lateBy: number;
  /** Priority that the engine is given. */
  readonly priority: number;
  readonly isHome: boolean;
  /** Delay for each queued item that goes before this one, if there is no room. */
  readonly delayPerQueuedItem: number;
  readonly hasRoom: boolean;
  /** Cost by the objective, without lateness and pressure; lower is better. */
  readonly baseCost: number;
}

/** Compares engines for a request. */
export interface Placement {
  /** @returns The best engine, whether or not it has room now; `undefined` if no engine is eligible. */
  readonly choose: (work: Work, now: number) => Prediction | undefined;
}

const defaultObjective: ObjectiveConfiguration = { timeToFirstToken: 1, recomputation: 1 };

/** The prediction with the lowest cost; lateness is penalised. */
const cheapest = (predictions: readonly Prediction[]): Prediction | undefined => {
  let waits = 0;
  for (const { wait } of predictions) waits += wait;
  // Where work is already waiting, each recomputed prompt delays all the others.
  const pressure = Math.min(maximumPressure, waits / predictions.length / pressureReferenceWait);
  let best: Prediction | undefined;
  let least = Number.POSITIVE_INFINITY;
  for (const prediction of predictions) {
    const { baseCost, prefill, lateBy } = prediction;
    const cost = baseCost + pressure * prefill + latePenalty * Math.max(0, lateBy);
    if (cost >= least) continue;
    least = cost;
    best = prediction;
  }
  return best;
};

const isWarm = ({ cachedTokens, affinity }: Prediction): boolean =>
  cachedTokens >= affinity.level.tokens * warmPrefixThreshold;

export const createPlacement = (dependencies: PlacementDependencies): Placement => {
  const { directory, estimates, cacheModel, affinityLearner, slotHoldingTimes } = dependencies;
  const listCandidates = createCandidateLister(dependencies);

  const objectiveOf = (work: Work): ObjectiveConfiguration => {
    const { requestClass } = work.context;
    if (requestClass.objective !== undefined) return requestClass.objective;
    const deployments = dependencies.configuration()?.configuration.deployments ?? [];
    return deployments.find(({ name }) => name === requestClass.deployment)?.objective ?? defaultObjective;
  };

  /**
   * Each router may always use its share of an engine's slots, and some of the slots that were free in the last
   * report; not all of those, since other routers may use them too.
   */
  const hasRoom = (work: Work, estimate: EngineEstimate, now: number): boolean => {
    const isBatch = work.context.requestClass.kind === "batch";
    const limit = Math.max(1, estimate.slotLimit() * (isBatch ? batchSlotShare : 1));
    const routers = Math.max(1, dependencies.liveRouters());
    const own = estimate.ownRunning();
    const reported = estimate.ownRunningAtReport();
    const free = Math.round(limit) - reported - Math.round(estimate.othersRunning(now));
    const budget = reported + free * Math.min(1, (isBatch ? 1 : interactiveFreeSlotShares) / routers);
    const ownShare = routers > 1 ? Math.max(1, Math.floor(limit / routers)) : 0;
    return own + 1 <= Math.max(ownShare, budget);
  };

  /** Expected time until a slot of the engine becomes free, if all are taken. */
  const slotWait = (work: Work, estimate: EngineEstimate): number =>
    slotHoldingTimes.of(work) / Math.max(1, estimate.slotLimit());

  /** Cost to other requests of filling up an engine; it rises before all slots are taken. */
  const congestionCost = (work: Work, estimate: EngineEstimate, now: number): number => {
    const limit = Math.max(1, estimate.slotLimit());
    const taken = (estimate.ownRunning() + estimate.othersRunning(now) + 1) / limit;
    if (taken <= congestionThreshold) return 0;
    return (
      ((slotHoldingTimes.of(work) / limit) * (taken - congestionThreshold)) /
      Math.max(minimumFreeShare, 1 - taken)
    );
  };

  const priorityOf = ({ context }: Work, shard: Shard, now: number): number => {
    const { priority } = context.requestClass;
    const isOverBudget = dependencies.prefillBudgets.isOverBudget(context.organisation.name, shard, now);
    return isOverBudget ? Math.max(overBudgetPriority, priority) : priority;
  };

  const choose = (work: Work, now: number): Prediction | undefined => {
    const shard = dependencies.shards.shardOf(work.context.organisation, work.pools);
    const affinity = affinityLearner.choose(work, estimates.retention(), now);
    if (affinity === undefined) return undefined;
    const objective = objectiveOf(work);
    const priority = priorityOf(work, shard, now);
    const { homes, holders, listOthers } = listCandidates(work, shard, affinity, now);
    const forecast = createCacheForecast(cacheModel, work.levels, affinity.level.key);
    /** Requests expected to reuse the prefix that a home computes now. */
    const expectedReuses = Math.max(1, (affinity.rate * estimates.retention()) / Math.max(1, homes.size));
    const remaining = work.context.firstTokenDeadline - now;

    const predict = (engine: EngineReplica): Prediction => {
      const estimate = estimates.of(engine, now);
      const stamp = cacheModel.stampOf(engine);
      const isHome = homes.has(engine.id);
      const prior = isHome
        ? dependencies.homeConfidence.of(
            work.context.organisation.name,
            affinity.rate,
            estimate.identityAge(now),
          )
        : 0;
      const cachedTokens = forecast.cachedTokens(stamp, estimate.retention(), prior, now);
      const tokenCost = estimate.millisecondsPerToken();
      const prefill = (work.promptTokens - cachedTokens) * tokenCost;
      const hasRoomNow = hasRoom(work, estimate, now);
      const slotDelay = hasRoomNow ? 0 : slotWait(work, estimate);
      // A prompt that may take long to compute runs after others of its class. Only prefixes that this router sent
      // count as cached here, because it is uncertain what other routers have sent.
      const observedTokens = forecast.cachedTokens(stamp, estimate.retention(), 0, now);
      const isLong = (work.promptTokens - observedTokens) * tokenCost > longPrefillThreshold;
      const enginePriority = isLong ? Math.min(lowestPriority, priority + 1) : priority;
      const aheadShare = dependencies.priorityMix.aheadShare(priority);
      const ownWait = estimate.ownWait(priority, now);
      const networkDelay = engine.dataCentre === dependencies.dataCentre ? 0 : roundTripBetweenDataCentres;
      const wait = ownWait + estimate.othersWait(priority, aheadShare, now) + slotDelay + networkDelay;
      const recomputation = isHome ? prefill / expectedReuses : prefill;
      const baseCost =
        objective.timeToFirstToken * (wait + prefill + congestionCost(work, estimate, now)) +
        objective.recomputation * recomputation;
      return {
        engine,
        stamp,
        estimate,
        cachedTokens,
        affinity,
        isUnobservedHome: isHome && forecast.isUnknown(stamp, estimate.retention(), now),
        expectedLevel: forecast.expectedLevel(stamp, estimate.retention(), now),
        ownWait,
        wait,
        lateBy: wait + prefill - remaining,
        priority: enginePriority,
        isHome,
        prefill,
        delayPerQueuedItem: slotDelay / Math.max(1, shard.members.length),
        hasRoom: hasRoomNow,
        baseCost,
      };
    };

    const predictAll = (ids: ReadonlySet<string>): readonly Prediction[] => {
      const predictions: Prediction[] = [];
      for (const id of ids) {
        const engine = directory.get(id);
        if (isEligible(engine, work)) predictions.push(predict(engine));
      }
      return predictions;
    };

    // Other engines are considered only if no holder will do: each copy takes cache space from other prefixes.
    const holderPredictions = predictAll(holders);
    const preferred = cheapest(holderPredictions);
    if (preferred?.hasRoom === true) {
      const recomputeTime = affinity.level.tokens * preferred.estimate.millisecondsPerToken();
      if (preferred.lateBy <= 0 && preferred.wait <= recomputeTime * spillFactor) return preferred;
      if (!holderPredictions.some(isWarm) && preferred.lateBy <= preferred.prefill) {
        return deferLatePrefill(work, preferred, now);
      }
    }
    return cheapest([...holderPredictions, ...predictAll(listOthers())]);
  };

  /**
   * Accepts a request that is late only because no engine has its prefix cached, at a low priority, so that it runs
   * after work in time. If all such requests were refused, the prefix would never be computed.
   */
  const deferLatePrefill = (work: Work, home: Prediction, now: number): Prediction => {
    const { estimate, prefill } = home;
    const priority = Math.max(latePriority, home.priority);
    const aheadShare = dependencies.priorityMix.aheadShare(priority);
    const ownWait = estimate.ownWait(priority, now);
    const wait = ownWait + estimate.othersWait(priority, aheadShare, now);
    const remaining = (work.context.completionDeadline - now) * lateFirstTokenShare;
    return { ...home, priority, ownWait, wait, lateBy: wait + prefill - remaining };
  };

  return { choose };
};
