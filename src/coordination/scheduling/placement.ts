/** Chooses an engine for a piece of work by the first token's predicted time and the prompt's recomputation. */
import type { ObjectiveConfiguration } from "../../protocol/configuration/schema.ts";
import type { CachePicture, EngineStamp } from "../../state/cachePicture.ts";
import type { EngineDirectory, EngineReplica } from "../../state/engineDirectory.ts";
import type { ConfigurationIndex } from "../configurationIndex.ts";
import type { Affinity, AffinityLearner } from "./affinity.ts";
import { createCandidateLister, isEligible } from "./candidates.ts";
import { createCacheForecast } from "./cacheForecast.ts";
import type { Belief } from "./cacheForecast.ts";
import {
  batchShare,
  crowdedFrom,
  crowdedLeast,
  freeSlotsTaken,
  heldFrom,
  highestPressure,
  latePenalty,
  latePriority,
  longPrefill,
  lowestPriority,
  overSharePriority,
  lateShare,
  pressureWait,
  roundTripBetweenDataCentres,
  spillFactor,
} from "./constants.ts";
import type { ComputingShares } from "./prefillBudgets.ts";
import type { EngineEstimate } from "./engineEstimate.ts";
import type { EngineEstimates } from "./engineEstimates.ts";
import type { HomeConfidence } from "./homeConfidence.ts";
import type { HoldingTimes } from "./slotHoldingTimes.ts";
import type { PriorityMix } from "./priorityMix.ts";
import type { Work } from "./Scheduler.ts";
import type { Shard, ShuffleShards } from "./shuffleShards.ts";

/** What a choice is made from. */
export interface PlacementParts {
  readonly directory: EngineDirectory;
  readonly configuration: () => ConfigurationIndex | undefined;
  readonly dataCentre: string;
  readonly liveRouters: () => number;
  readonly picture: CachePicture;
  readonly estimates: EngineEstimates;
  readonly affinity: AffinityLearner;
  readonly shards: ShuffleShards;
  readonly holdingTimes: HoldingTimes;
  readonly priorityMix: PriorityMix;
  readonly homeConfidence: HomeConfidence;
  readonly computingShares: ComputingShares;
}

/** An engine with what is predicted for one piece of work there. Times are milliseconds. */
export interface Prediction {
  readonly engine: EngineReplica;
  readonly stamp: EngineStamp | undefined;
  readonly estimate: EngineEstimate;
  readonly cachedTokens: number;
  /** The deepest level that the engine is believed to hold from this router's own work, if any. */
  readonly believed: Belief | undefined;
  /** The level that decided where it belongs. */
  readonly affinity: Affinity;
  /** A home of that level to which this router has not sent it. */
  readonly homeUntested: boolean;
  /** Spent waiting for this router's own work. */
  readonly ownWait: number;
  /** Until the engine begins to compute the prompt. */
  readonly wait: number;
  readonly prefill: number;
  /** From the deadline to the first token; negative if it comes in time. */
  readonly lateBy: number;
  /** For the engine. */
  readonly priority: number;
  readonly isHome: boolean;
  /** For each piece of work that goes before this one, if there is no room. */
  readonly queueTurn: number;
  readonly hasRoom: boolean;
  /** What is spent on the work by itself; the smaller the better. */
  readonly spent: number;
}

/** Compares engines for a piece of work. */
export interface Placement {
  /** @returns The best engine, whether or not it has room now; undefined where no live engine may answer. */
  readonly choose: (work: Work, now: number) => Prediction | undefined;
}

const defaultObjective: ObjectiveConfiguration = { timeToFirstToken: 1, recomputation: 1 };

/** The cheapest of the engines; those that are late cost more than any that is not. */
const cheapest = (predictions: readonly Prediction[]): Prediction | undefined => {
  let waits = 0;
  for (const { wait } of predictions) waits += wait;
  // Where work waits already, each prompt that is computed again makes all the others wait.
  const pressure = Math.min(highestPressure, waits / predictions.length / pressureWait);
  let best: Prediction | undefined;
  let least = Number.POSITIVE_INFINITY;
  for (const prediction of predictions) {
    const { spent, prefill, lateBy } = prediction;
    const cost = spent + pressure * prefill + latePenalty * Math.max(0, lateBy);
    if (cost >= least) continue;
    least = cost;
    best = prediction;
  }
  return best;
};

const isHeldBy = ({ cachedTokens, affinity }: Prediction): boolean =>
  cachedTokens >= affinity.level.tokens * heldFrom;

/** Makes a placement. */
export const createPlacement = (parts: PlacementParts): Placement => {
  const { directory, estimates, picture, affinity, holdingTimes } = parts;
  const listCandidates = createCandidateLister(parts);

  const objectiveOf = (work: Work): ObjectiveConfiguration => {
    const { requestClass } = work.context;
    if (requestClass.objective !== undefined) return requestClass.objective;
    const deployments = parts.configuration()?.configuration.deployments ?? [];
    return deployments.find(({ name }) => name === requestClass.deployment)?.objective ?? defaultObjective;
  };

  /**
   * Each router has its part of an engine's slots for certain, and may take some of those that the last report
   * shows free; as others may too, not all of them.
   */
  const hasRoom = (work: Work, estimate: EngineEstimate, now: number): boolean => {
    const isBatch = work.context.requestClass.kind === "batch";
    const limit = Math.max(1, estimate.limit() * (isBatch ? batchShare : 1));
    const routers = Math.max(1, parts.liveRouters());
    const own = estimate.ownRunning();
    const reported = estimate.ownReported();
    const free = Math.round(limit) - reported - Math.round(estimate.othersRunning(now));
    const budget = reported + free * Math.min(1, (isBatch ? 1 : freeSlotsTaken) / routers);
    const ownPart = routers > 1 ? Math.max(1, Math.floor(limit / routers)) : 0;
    return own + 1 <= Math.max(ownPart, budget);
  };

  /** How long until one of an engine's slots is free, if all are taken. */
  const slotWait = (work: Work, estimate: EngineEstimate): number =>
    holdingTimes.of(work) / Math.max(1, estimate.limit());

  /** What it costs others that an engine comes near to being full: rises before its slots are all taken. */
  const crowding = (work: Work, estimate: EngineEstimate, now: number): number => {
    const limit = Math.max(1, estimate.limit());
    const taken = (estimate.ownRunning() + estimate.othersRunning(now) + 1) / limit;
    if (taken <= crowdedFrom) return 0;
    return ((holdingTimes.of(work) / limit) * (taken - crowdedFrom)) / Math.max(crowdedLeast, 1 - taken);
  };

  const priorityOf = ({ context }: Work, shard: Shard, now: number): number => {
    const { priority } = context.requestClass;
    const isOver = parts.computingShares.isOver(context.organisation.name, shard, now);
    return isOver ? Math.max(overSharePriority, priority) : priority;
  };

  const choose = (work: Work, now: number): Prediction | undefined => {
    const shard = parts.shards.shardOf(work.context.organisation, work.pools);
    const chosen = affinity.choose(work, estimates.retention(), now);
    if (chosen === undefined) return undefined;
    const objective = objectiveOf(work);
    const priority = priorityOf(work, shard, now);
    const { homes, holders, listOthers } = listCandidates(work, shard, chosen, now);
    const forecast = createCacheForecast(picture, work.levels, chosen.level.key);
    /** Requests that will use what a home computes now. */
    const users = Math.max(1, (chosen.rate * estimates.retention()) / Math.max(1, homes.size));
    const remaining = work.context.firstTokenDeadline - now;

    const predict = (engine: EngineReplica): Prediction => {
      const estimate = estimates.of(engine, now);
      const stamp = picture.stampOf(engine);
      const isHome = homes.has(engine.id);
      const prior = isHome
        ? parts.homeConfidence.of(work.context.organisation.name, chosen.rate, estimate.knownFor(now))
        : 0;
      const cachedTokens = forecast.cachedTokens(stamp, estimate.retention(), prior, now);
      const tokenCost = estimate.millisecondsPerToken();
      const prefill = (work.promptTokens - cachedTokens) * tokenCost;
      const room = hasRoom(work, estimate, now);
      const turn = room ? 0 : slotWait(work, estimate);
      // Work that may turn out long goes after the class's others, whatever other routers are hoped to have done.
      const known = forecast.cachedTokens(stamp, estimate.retention(), 0, now);
      const isLong = (work.promptTokens - known) * tokenCost > longPrefill;
      const ownPriority = isLong ? Math.min(lowestPriority, priority + 1) : priority;
      const aheadShare = parts.priorityMix.aheadShare(priority);
      const ownWait = estimate.ownWait(priority, now);
      const distance = engine.dataCentre === parts.dataCentre ? 0 : roundTripBetweenDataCentres;
      const wait = ownWait + estimate.othersWait(priority, aheadShare, now) + turn + distance;
      const recomputation = isHome ? prefill / users : prefill;
      const spent =
        objective.timeToFirstToken * (wait + prefill + crowding(work, estimate, now)) +
        objective.recomputation * recomputation;
      return {
        engine,
        stamp,
        estimate,
        cachedTokens,
        affinity: chosen,
        homeUntested: isHome && forecast.isUnknown(stamp, estimate.retention(), now),
        believed: forecast.believed(stamp, estimate.retention(), now),
        ownWait,
        wait,
        lateBy: wait + prefill - remaining,
        priority: ownPriority,
        isHome,
        prefill,
        queueTurn: turn / Math.max(1, shard.members.length),
        hasRoom: room,
        spent,
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

    // Other engines are no choice while a holder will do: each copy takes cache from other prefixes.
    const first = predictAll(holders);
    const preferred = cheapest(first);
    if (preferred?.hasRoom === true) {
      const recomputed = chosen.level.tokens * preferred.estimate.millisecondsPerToken();
      if (preferred.lateBy <= 0 && preferred.wait <= recomputed * spillFactor) return preferred;
      if (!first.some(isHeldBy) && preferred.lateBy <= preferred.prefill) {
        return computeLate(work, preferred, now);
      }
    }
    return cheapest([...first, ...predictAll(listOthers())]);
  };

  /**
   * A prefix that no engine holds, and that can't be computed in time: its first request computes it at home all
   * the same, or it would be late for ever, but goes after what is in time.
   */
  const computeLate = (work: Work, home: Prediction, now: number): Prediction => {
    const { estimate, prefill } = home;
    const priority = Math.max(latePriority, home.priority);
    const aheadShare = parts.priorityMix.aheadShare(priority);
    const ownWait = estimate.ownWait(priority, now);
    const wait = ownWait + estimate.othersWait(priority, aheadShare, now);
    const remaining = (work.context.completionDeadline - now) * lateShare;
    return { ...home, priority, ownWait, wait, lateBy: wait + prefill - remaining };
  };

  return { choose };
};
