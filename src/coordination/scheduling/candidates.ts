/** Which engines are worth comparing for a piece of work. */
import type { CachePicture } from "../../state/cachePicture.ts";
import type { EngineDirectory, EngineReplica } from "../../state/engineDirectory.ts";
import type { Affinity } from "./affinity.ts";
import { compareAllUpTo, maximumWidth, nextInOrder, sampledEngines, wideningLoad } from "./constants.ts";
import type { EngineEstimate } from "./engineEstimate.ts";
import type { EngineEstimates } from "./engineEstimates.ts";
import type { HoldingTimes } from "./holdingTimes.ts";
import type { Work } from "./Scheduler.ts";
import { firstInOrder } from "./shuffleShards.ts";
import type { Member, Shard } from "./shuffleShards.ts";

/** Engines by id. */
export interface Candidates {
  readonly ids: ReadonlySet<string>;
  /** Those of them among which the prefix is spread. */
  readonly homes: ReadonlySet<string>;
}

/** What candidates are listed from. */
export interface CandidateParts {
  readonly directory: EngineDirectory;
  readonly picture: CachePicture;
  readonly estimates: EngineEstimates;
  readonly holdingTimes: HoldingTimes;
}

/** True if an engine may answer a piece of work. */
export const isEligible = (engine: EngineReplica | undefined, work: Work): engine is EngineReplica =>
  engine?.state === "live" &&
  engine.load !== undefined &&
  !work.excluded.has(engine.id) &&
  work.weightsVersions.includes(engine.load.weightsVersion);

/** Makes a lister. */
export const createCandidateLister = (parts: CandidateParts) => {
  const { directory, picture, estimates, holdingTimes } = parts;
  /** Walks through the engines that are not compared for their caches' sake. */
  let sample = 0;

  /** Engines that a level needs so that none is loaded by it beyond what leaves others room. */
  const widthOf = (work: Work, chosen: Affinity, first: EngineEstimate): number => {
    const slots = (chosen.rate * holdingTimes.of(work)) / first.limit();
    const computing = chosen.rate * (work.promptTokens - chosen.level.tokens) * first.millisecondsPerToken();
    return Math.min(maximumWidth, Math.max(1, Math.ceil(Math.max(slots, computing) / wideningLoad)));
  };

  const sampleOf = (members: readonly Member[]): readonly Member[] => {
    if (members.length <= compareAllUpTo) return members;
    const chosen: Member[] = [];
    for (let count = 0; count < sampledEngines; count += 1) {
      sample = (sample + 7919) % members.length;
      const member = members[sample];
      if (member !== undefined) chosen.push(member);
    }
    return chosen;
  };

  /** The prefix's homes in order, how many they are, and the engines to compare them with. */
  const listCandidates = (work: Work, shard: Shard, chosen: Affinity, now: number): Candidates => {
    const ordered = firstInOrder(
      shard.members,
      shard.equalWeights,
      chosen.level.key,
      maximumWidth + nextInOrder,
    ).filter(({ id }) => isEligible(directory.get(id), work));
    const first = directory.get(ordered[0]?.id ?? "");
    const width = first === undefined ? 0 : widthOf(work, chosen, estimates.of(first, now));
    const ids = new Set(ordered.slice(0, width + nextInOrder).map(({ id }) => id));
    for (const { id } of sampleOf(shard.members)) ids.add(id);
    for (const { id } of sampleOf(shard.others)) ids.add(id);
    for (const id of picture.levelBeliefs(chosen.level.key)?.keys() ?? []) ids.add(id);
    return { ids, homes: new Set(ordered.slice(0, width).map(({ id }) => id)) };
  };

  return listCandidates;
};
