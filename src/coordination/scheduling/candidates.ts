/** Which engines are worth comparing for a piece of work. */
import type { CachePicture } from "../../state/cachePicture.ts";
import type { EngineDirectory, EngineReplica } from "../../state/engineDirectory.ts";
import type { Affinity } from "./affinity.ts";
import { createBalance } from "./loadWeights.ts";
import { compareAllUpTo, maximumWidth, nextInOrder, sampledEngines, wideningLoad } from "./constants.ts";
import type { EngineEstimates } from "./engineEstimates.ts";
import type { HoldingTimes } from "./slotHoldingTimes.ts";
import type { Work } from "./Scheduler.ts";
import { firstInOrder } from "./shuffleShards.ts";
import type { Member, Shard } from "./shuffleShards.ts";

/** Engines by id. */
export interface Candidates {
  /** Those among which the prefix is spread on purpose. */
  readonly homes: ReadonlySet<string>;
  /** The homes, and engines that are believed to hold the prefix. */
  readonly holders: ReadonlySet<string>;
  /** Engines to turn to where none of these is in time. */
  readonly listOthers: () => ReadonlySet<string>;
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
  work.weightsVersions.includes(engine.load.weightsVersion) &&
  (work.adapter === undefined || engine.load.adapters.includes(work.adapter));

/** Makes a lister. */
export const createCandidateLister = (parts: CandidateParts) => {
  const { directory, picture, estimates, holdingTimes } = parts;
  /** Walks through the engines that are not compared for their caches' sake. */
  let sample = 0;
  const balance = createBalance(parts);

  /** Engines that a level needs so that none is loaded by it beyond what leaves others room. */
  const widthOf = (work: Work, chosen: Affinity, shard: Shard, now: number): number => {
    const engine = directory.get(shard.members[0]?.id ?? "");
    if (engine === undefined) return 1;
    const typical = estimates.of(engine, now);
    const slots = (chosen.rate * holdingTimes.of(work)) / typical.limit();
    const computing =
      chosen.rate * (work.promptTokens - chosen.level.tokens) * typical.millisecondsPerToken();
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
    const weightOf = balance.weightOf(shard, now);
    const firstEligible = (count: number): readonly Member[] =>
      firstInOrder(shard.members, weightOf, chosen.level.key, count).filter(({ id }) =>
        isEligible(directory.get(id), work),
      );
    const width = widthOf(work, chosen, shard, now);
    let ordered = firstEligible(width + nextInOrder);
    if (ordered.length < width) ordered = firstEligible(shard.members.length);
    const homes = new Set(ordered.slice(0, width).map(({ id }) => id));
    const believed = picture.levelBeliefs(chosen.level.key)?.keys() ?? [];
    const listOthers = (): ReadonlySet<string> =>
      new Set(
        [...ordered.slice(width, width + nextInOrder), ...sampleOf(shard.members), ...sampleOf(shard.others)]
          .map(({ id }) => id)
          .filter((id) => !homes.has(id)),
      );
    return { homes, holders: new Set([...homes, ...believed]), listOthers };
  };

  return listCandidates;
};
