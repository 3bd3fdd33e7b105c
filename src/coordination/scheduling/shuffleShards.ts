/**
 * Where prefixes belong, computed from the membership alone: every router that knows the same engines comes
 * to the same order without a message.
 *
 * An organisation's work is confined to a shard of the engines, sized by its standing and picked by rendezvous
 * hashing, so that what it does to caches reaches few of its rivals wholly. Within the shard, a prefix has a
 * rendezvous order of its own.
 */
import type { OrganisationConfiguration } from "../../protocol/configuration/schema.ts";
import { hash64 } from "../../protocol/prefixLevels.ts";
import type { EngineDirectory } from "../../state/engineDirectory.ts";
import type { ConfigurationIndex } from "../configurationIndex.ts";
import { shardFactor, shardImbalance, smallestShard, unknownPool } from "./constants.ts";

/** An engine as a member of rendezvous orders. */
export interface Member {
  readonly id: string;
  readonly hashHigh: number;
  readonly hashLow: number;
  /** Relative to the pool's other members. */
  readonly weight: number;
}

/** The engines that serve some pools, and the shard of one organisation among them. */
export interface Shard {
  readonly members: readonly Member[];
  /** Engines of the same pools outside the shard. */
  readonly others: readonly Member[];
  readonly equalWeights: boolean;
  /** The organisation's part of the standing of all that share the engines, 0 to 1. */
  readonly standingShare: number;
  /** Prompt tokens that all engines of the pools compute. */
  readonly tokensPerSecond: number;
}

/** Computes shards, and keeps them until membership or configuration change. */
export interface ShuffleShards extends Disposable {
  readonly shardOf: (organisation: OrganisationConfiguration, pools: readonly string[]) => Shard;
}

const halves = (hash: bigint): readonly [high: number, low: number] => [
  Number(hash >> 32n),
  Number(hash & 0xffffffffn),
];

/** Mixes a key's and an engine's hash into 32 bits. */
const mix = (high: number, low: number, member: Member): number => {
  let hash = Math.imul(high ^ member.hashHigh, 0x85ebca6b);
  hash ^= hash >>> 15;
  hash = Math.imul(hash ^ low ^ member.hashLow, 0xc2b2ae35);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0x27d4eb2f);
  return (hash ^ (hash >>> 16)) >>> 0;
};

const weigh = (hash: number, weight: number): number => -weight / Math.log((hash + 0.5) / 0x1_0000_0000);

/**
 * The first members of a key's weighted rendezvous order.
 *
 * @param key - 16 hexadecimal digits.
 * @param weightOf - Relative weights; left out where all are alike.
 * @param count - How many are wanted.
 */
export const firstInOrder = (
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
    const hash = mix(high, low, member);
    const score = weightOf === undefined ? hash : weigh(hash, weightOf(member));
    if (best.length === count && score <= (scores[count - 1] ?? 0)) continue;
    let place = best.length;
    while (place > 0 && (scores[place - 1] ?? 0) < score) place -= 1;
    best.splice(place, 0, member);
    scores.splice(place, 0, score);
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

const hexOf = (text: string): string => hash64(text).toString(16).padStart(16, "0");

/** Makes shards over a directory. */
export const createShuffleShards = (
  directory: EngineDirectory,
  configuration: () => ConfigurationIndex | undefined,
): ShuffleShards => {
  const memberLists = new Map<string, readonly Member[]>();
  /** By pools, then by organisation. */
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
    const { maximumRunning, prefillTokensPerSecond } = configuration()?.pools.get(pool) ?? unknownPool;
    return maximumRunning * prefillTokensPerSecond;
  };

  const listMembers = (pools: readonly string[]): readonly Member[] => {
    const largest = Math.max(...pools.map(capacityOf));
    return pools.flatMap((pool) => {
      const weight = capacityOf(pool) / largest;
      return directory.inPool(pool).map(({ id }) => {
        const [hashHigh, hashLow] = halves(hash64(id));
        return { id, hashHigh, hashLow, weight };
      });
    });
  };

  const membersOf = (pools: readonly string[]): readonly Member[] => {
    const name = pools.join(" ");
    const known = memberLists.get(name) ?? listMembers(pools);
    memberLists.set(name, known);
    return known;
  };

  /** Those that share the pools' engines, in an order that all routers have. */
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
   * Each organisation takes the first engines of its own order that have not yet been given more than their part
   * of the standing, so that no engine is in the shards of many and another in none.
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
      const { prefillTokensPerSecond } = configuration()?.pools.get(pool) ?? unknownPool;
      return sum + directory.inPool(pool).length * prefillTokensPerSecond;
    }, 0);
    const given = new Map<Member, number>();

    const computeShard = ({ name, standing }: OrganisationConfiguration): Shard => {
      const share = standing / totalStanding;
      const wanted = Math.ceil(all.length * share * shardFactor);
      const least = Math.min(smallestShard, Math.ceil(all.length / 2));
      const size = Math.min(all.length, Math.max(least, wanted));
      const key = hexOf(`shard\u0000${name}\u0000${pools.join(" ")}`);
      const ordered = firstInOrder(all, equalWeights ? undefined : ownWeight, key, all.length);
      const loadWith = (member: Member): number =>
        ((given.get(member) ?? 0) + share / size) / (member.weight / totalWeight);
      const fitting = ordered.filter((member) => loadWith(member) <= shardImbalance);
      const rest = ordered
        .filter((member) => loadWith(member) > shardImbalance)
        .sort((left, right) => loadWith(left) - loadWith(right));
      const members = [...fitting, ...rest].slice(0, size);
      for (const member of members) given.set(member, (given.get(member) ?? 0) + share / size);
      const inside = new Set(members);
      const others = all.filter((member) => !inside.has(member));
      return { members, others, equalWeights, standingShare: share, tokensPerSecond };
    };

    return new Map(sharers.map((sharer) => [sharer.name, computeShard(sharer)]));
  };

  return {
    shardOf: (organisation, pools) => {
      const inForce = configuration()?.version;
      if (inForce !== version) clear();
      version = inForce;
      const name = pools.join(" ");
      const known = shards.get(name)?.get(organisation.name);
      if (known !== undefined) return known;
      const computed = computeShards(organisation, pools);
      shards.set(name, computed);
      return computed.get(organisation.name) ?? emptyShard;
    },
    [Symbol.dispose]: unsubscribe,
  };
};
