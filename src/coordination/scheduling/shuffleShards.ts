/**
 * Shuffle sharding of engines among organisations. Shards and rendezvous orders are computed from the engines and
 * the configuration alone, so routers that know the same ones agree without exchanging messages.
 *
 * An organisation's work is confined to a shard of the engines, sized by its standing and chosen by rendezvous
 * hashing, so that it can evict all cached prefixes of only a few other organisations. Within the shard, each prefix
 * has its own rendezvous order.
 */
import type { OrganisationConfiguration } from "../../protocol/configuration/schema.ts";
import { hash64 } from "../../protocol/prefixLevels.ts";
import type { EngineDirectory } from "../../state/engineDirectory.ts";
import type { ConfigurationIndex } from "../configurationIndex.ts";
import { shardFactor, maximumShardImbalance, minimumShardSize, defaultPoolCapacity } from "./constants.ts";

/** An engine in a rendezvous order. */
export interface Member {
  readonly id: string;
  readonly hashHigh: number;
  readonly hashLow: number;
  /** Capacity relative to the largest of the compared pools, 0 to 1. */
  readonly weight: number;
}

/** The shard of one organisation among the engines of some pools. */
export interface Shard {
  readonly members: readonly Member[];
  /** Engines of the same pools outside the shard. */
  readonly others: readonly Member[];
  readonly equalWeights: boolean;
  /** The organisation's share of the total standing of all organisations that use the engines, 0 to 1. */
  readonly standingShare: number;
  /** Prompt tokens per second that all engines of the pools compute together. */
  readonly tokensPerSecond: number;
}

/** Computes shards, and caches them until the engines or the configuration change. */
export interface ShuffleShards extends Disposable {
  readonly shardOf: (organisation: OrganisationConfiguration, pools: readonly string[]) => Shard;
}

const splitHash = (hash: bigint): readonly [high: number, low: number] => [
  Number(hash >> 32n),
  Number(hash & 0xffffffffn),
];

/** Combines the hashes of a key and an engine into 32 bits. */
const mixHashes = (high: number, low: number, member: Member): number => {
  let hash = Math.imul(high ^ member.hashHigh, 0x85ebca6b);
  hash ^= hash >>> 15;
  hash = Math.imul(hash ^ low ^ member.hashLow, 0xc2b2ae35);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0x27d4eb2f);
  return (hash ^ (hash >>> 16)) >>> 0;
};

/** Score for weighted rendezvous hashing. */
const weightedScore = (hash: number, weight: number): number =>
  -weight / Math.log((hash + 0.5) / 0x1_0000_0000);

/**
 * Ranks members for a key by weighted rendezvous hashing.
 *
 * @param key - 16 hexadecimal digits.
 * @param weightOf - Relative weights; `undefined` if all are equal.
 * @param count - Maximum number of members returned.
 * @returns The highest-ranked members, best first.
 */
export const highestRanked = (
  members: readonly Member[],
  weightOf: ((member: Member) => number) | undefined,
  key: string,
  count: number,
): readonly Member[] => {
  const high = Number.parseInt(key.slice(0, 8), 16);
  const low = Number.parseInt(key.slice(8, 16), 16);
  const best: Member[] = [];
  const scores: number[] = [];
  for (const member of members) {
    const hash = mixHashes(high, low, member);
    const score = weightOf === undefined ? hash : weightedScore(hash, weightOf(member));
    if (best.length === count && score <= (scores[count - 1] ?? 0)) continue;
    let position = best.length;
    while (position > 0 && (scores[position - 1] ?? 0) < score) position -= 1;
    best.splice(position, 0, member);
    scores.splice(position, 0, score);
    if (best.length <= count) continue;
    best.pop();
    scores.pop();
  }
  return best;
};

const ownWeight = ({ weight }: Member): number => weight;

const emptyShard: Shard = {
  members: [],
  others: [],
  equalWeights: true,
  standingShare: 1,
  tokensPerSecond: 0,
};

const hexHash = (text: string): string => hash64(text).toString(16).padStart(16, "0");

/** Creates shards that follow a directory until they are disposed. */
export const createShuffleShards = (
  directory: EngineDirectory,
  configuration: () => ConfigurationIndex | undefined,
): ShuffleShards => {
  const memberLists = new Map<string, readonly Member[]>();
  /** By pools, then by name of the organisation. */
  const shards = new Map<string, ReadonlyMap<string, Shard>>();
  let version: number | undefined;

  const clear = (): void => {
    memberLists.clear();
    shards.clear();
  };
  const unsubscribe = directory.subscribe(({ kind }) => {
    if (kind === "added" || kind === "removed") clear();
  });

  const capacityOf = (pool: string): number => {
    const { maximumRunning, prefillTokensPerSecond } =
      configuration()?.pools.get(pool) ?? defaultPoolCapacity;
    return maximumRunning * prefillTokensPerSecond;
  };

  const listMembers = (pools: readonly string[]): readonly Member[] => {
    const largest = Math.max(...pools.map(capacityOf));
    return pools.flatMap((pool) => {
      const weight = capacityOf(pool) / largest;
      return directory.inPool(pool).map(({ id }) => {
        const [hashHigh, hashLow] = splitHash(hash64(id));
        return { id, hashHigh, hashLow, weight };
      });
    });
  };

  const membersOf = (pools: readonly string[]): readonly Member[] => {
    const poolsKey = pools.join(" ");
    const known = memberLists.get(poolsKey) ?? listMembers(pools);
    memberLists.set(poolsKey, known);
    return known;
  };

  /** The organisations that share the pools' engines, in an order that is the same at all routers. */
  const sharersOf = (
    organisation: OrganisationConfiguration,
    pools: readonly string[],
  ): readonly OrganisationConfiguration[] => {
    const index = configuration();
    const models = new Set(pools.map((pool) => index?.pools.get(pool)?.model));
    const sharers = [...(index?.organisations.values() ?? [])].filter(
      ({ name, deployment, models: used }) =>
        name !== organisation.name &&
        deployment === organisation.deployment &&
        used.some((model) => models.has(model)),
    );
    return [...sharers, organisation].sort(
      (left, right) => right.standing - left.standing || (left.name < right.name ? -1 : 1),
    );
  };

  /**
   * Each organisation gets the first engines of its rendezvous order that have not yet been assigned more than their
   * share of the standing, so that no engine is in many shards while another is in none.
   */
  const computeShards = (
    organisation: OrganisationConfiguration,
    pools: readonly string[],
  ): ReadonlyMap<string, Shard> => {
    const all = membersOf(pools);
    const equalWeights = all.every((member) => member.weight === all[0]?.weight);
    const sharers = sharersOf(organisation, pools);
    const totalStanding = sharers.reduce((sum, { standing }) => sum + standing, 0);
    const totalWeight = all.reduce((sum, { weight }) => sum + weight, 0);
    const tokensPerSecond = pools.reduce((sum, pool) => {
      const { prefillTokensPerSecond } = configuration()?.pools.get(pool) ?? defaultPoolCapacity;
      return sum + directory.inPool(pool).length * prefillTokensPerSecond;
    }, 0);
    const assignedStanding = new Map<Member, number>();

    const computeShard = ({ name, standing }: OrganisationConfiguration): Shard => {
      const share = standing / totalStanding;
      const wanted = Math.ceil(all.length * share * shardFactor);
      const least = Math.min(minimumShardSize, Math.ceil(all.length / 2));
      const size = Math.min(all.length, Math.max(least, wanted));
      const key = hexHash(`shard\u0000${name}\u0000${pools.join(" ")}`);
      const ordered = highestRanked(all, equalWeights ? undefined : ownWeight, key, all.length);
      const loadWith = (member: Member): number =>
        ((assignedStanding.get(member) ?? 0) + share / size) / (member.weight / totalWeight);
      const withinLimit = ordered.filter((member) => loadWith(member) <= maximumShardImbalance);
      const rest = ordered
        .filter((member) => loadWith(member) > maximumShardImbalance)
        .sort((left, right) => loadWith(left) - loadWith(right));
      const members = [...withinLimit, ...rest].slice(0, size);
      for (const member of members)
        assignedStanding.set(member, (assignedStanding.get(member) ?? 0) + share / size);
      const inside = new Set(members);
      const others = all.filter((member) => !inside.has(member));
      return { members, others, equalWeights, standingShare: share, tokensPerSecond };
    };

    return new Map(sharers.map((sharer) => [sharer.name, computeShard(sharer)]));
  };

  return {
    shardOf: (organisation, pools) => {
      const currentVersion = configuration()?.version;
      if (currentVersion !== version) clear();
      version = currentVersion;
      const poolsKey = pools.join(" ");
      const known = shards.get(poolsKey)?.get(organisation.name);
      if (known !== undefined) return known;
      const computed = computeShards(organisation, pools);
      shards.set(poolsKey, computed);
      return computed.get(organisation.name) ?? emptyShard;
    },
    [Symbol.dispose]: unsubscribe,
  };
};
