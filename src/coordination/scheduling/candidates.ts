/** Lists the engines that placement compares for a request. */
import type { CacheModel } from "../../state/cacheModel.ts";
import type { EngineDirectory, EngineReplica } from "../../state/engineDirectory.ts";
import type { Affinity } from "./affinity.ts";
import { createLoadWeights } from "./loadWeights.ts";
import {
  fullComparisonLimit,
  maximumHomesPerPrefix,
  comparedSuccessors,
  sampledEngines,
  maximumLoadPerHome,
} from "./constants.ts";
import type { EngineEstimates } from "./engineEstimates.ts";
import type { SlotHoldingTimes } from "./slotHoldingTimes.ts";
import type { Work } from "./Scheduler.ts";
import { highestRanked } from "./shuffleShards.ts";
import type { Member, Shard } from "./shuffleShards.ts";

/** Ids of candidate engines. */
export interface Candidates {
  /** The first engines in the prefix's rendezvous order, over which its requests are spread. */
  readonly homes: ReadonlySet<string>;
  /** The homes, and the engines that the cache model expects to have the prefix cached. */
  readonly holders: ReadonlySet<string>;
  /** @returns Fallback engines for the case that none of the holders can meet the deadline. */
  readonly listOthers: () => ReadonlySet<string>;
}

export interface CandidateDependencies {
  readonly directory: EngineDirectory;
  readonly cacheModel: CacheModel;
  readonly estimates: EngineEstimates;
  readonly slotHoldingTimes: SlotHoldingTimes;
}

/** @returns True if an engine is live, not excluded, and has the required weights and adapter loaded. */
export const isEligible = (engine: EngineReplica | undefined, work: Work): engine is EngineReplica =>
  engine?.state === "live" &&
  engine.load !== undefined &&
  !work.excluded.has(engine.id) &&
  work.weightsVersions.includes(engine.load.weightsVersion) &&
  (work.adapter === undefined || engine.load.adapters.includes(work.adapter));

/** Creates a function that lists the candidates for a request. */
export const createCandidateLister = (dependencies: CandidateDependencies) => {
  const { directory, cacheModel, estimates, slotHoldingTimes } = dependencies;
  /** Position of the last sampled engine among those that are not compared for their caches. */
  let sampleOffset = 0;
  const loadWeights = createLoadWeights(dependencies);

  /** Number of homes that a level needs so that its requests do not exceed the load limit of any of them. */
  const homeCountOf = (work: Work, affinity: Affinity, shard: Shard, now: number): number => {
    const engine = directory.get(shard.members[0]?.id ?? "");
    if (engine === undefined) return 1;
    const typical = estimates.of(engine, now);
    const slotLoad = (affinity.rate * slotHoldingTimes.of(work)) / typical.slotLimit();
    const prefillLoad =
      affinity.rate * (work.promptTokens - affinity.level.tokens) * typical.millisecondsPerToken();
    return Math.min(
      maximumHomesPerPrefix,
      Math.max(1, Math.ceil(Math.max(slotLoad, prefillLoad) / maximumLoadPerHome)),
    );
  };

  const pickSample = (members: readonly Member[]): readonly Member[] => {
    if (members.length <= fullComparisonLimit) return members;
    const chosen: Member[] = [];
    for (let count = 0; count < sampledEngines; count += 1) {
      sampleOffset = (sampleOffset + 7919) % members.length;
      const member = members[sampleOffset];
      if (member !== undefined) chosen.push(member);
    }
    return chosen;
  };

  const listCandidates = (work: Work, shard: Shard, affinity: Affinity, now: number): Candidates => {
    const weightOf = loadWeights.weightOf(shard, now);
    const firstEligible = (count: number): readonly Member[] =>
      highestRanked(shard.members, weightOf, affinity.level.key, count).filter(({ id }) =>
        isEligible(directory.get(id), work),
      );
    const homeCount = homeCountOf(work, affinity, shard, now);
    let ordered = firstEligible(homeCount + comparedSuccessors);
    if (ordered.length < homeCount) ordered = firstEligible(shard.members.length);
    const homes = new Set(ordered.slice(0, homeCount).map(({ id }) => id));
    const knownHolders = cacheModel.levelView(affinity.level.key)?.keys() ?? [];
    const listOthers = (): ReadonlySet<string> =>
      new Set(
        [
          ...ordered.slice(homeCount, homeCount + comparedSuccessors),
          ...pickSample(shard.members),
          ...pickSample(shard.others),
        ]
          .map(({ id }) => id)
          .filter((id) => !homes.has(id)),
      );
    return { homes, holders: new Set([...homes, ...knownHolders]), listOthers };
  };

  return listCandidates;
};
