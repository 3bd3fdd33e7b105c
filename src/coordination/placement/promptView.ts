/** Where the parts of a prompt are cached and expected, separately for each version of the weights. */
import type { CacheStore, Prompt } from "../../protocol/forwarding/types.ts";
import { hash32 } from "../../protocol/prefixLevels.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import type { Clock } from "../clock.ts";
import { isBackingOff } from "../replicaReports/backoff.ts";
import type { CacheHolders, CachedPrompt } from "../forwarding/cacheHolders.ts";
import { reusableParts } from "../forwarding/cacheHolders.ts";
import { rendezvousReplica } from "./rendezvousReplica.ts";
import type { NetworkAddress } from "../../protocol/networkAddress.ts";

export interface PromptViewDependencies {
  readonly replicas: ReplicaTable;
  readonly clock: Clock;
  readonly holders: CacheHolders;
  /** @returns The cache store for a part hash; `undefined` if none answers. */
  readonly findStore: (part: number) => CacheStore | undefined;
}

/** Where a prompt is cached among the engines that run one version of the weights, and in stores. */
export interface PromptView {
  readonly salt: string;
  /** By replica id or store address. */
  readonly cached: ReadonlyMap<string, CachedPrompt>;
  /** Hash of the deepest reusable part. */
  readonly partHash: number;
  /** The replicas that run these weights. */
  readonly sameWeights: readonly ReplicaState[];
  /** Id of the replica where all routers expect the part, chosen by rendezvous hashing. */
  readonly home: string | undefined;
  /** The largest number of the prompt's tokens that any single holder has ready for copying. */
  readonly copyableTokens: number;
  /** Tokens of all reusable parts. */
  readonly reusableTokens: number;
}

interface CachedAt {
  readonly id: string;
  readonly cached: CachedPrompt;
}

const mostCopyableTokens = (cached: ReadonlyMap<string, CachedPrompt>): number => {
  let most = 0;
  for (const { readyTokens } of cached.values()) most = Math.max(most, readyTokens);
  return most;
};

export interface PromptViews {
  /** @param sameWeights - All replicas that run one version of the weights, available or not. */
  readonly viewPrompt: (prompt: Prompt, salt: string, sameWeights: readonly ReplicaState[]) => PromptView;
  /**
   * @param chosen - Id of the chosen replica.
   * @param own - Tokens that the chosen replica caches itself.
   * @returns `IP:PORT` to copy parts from: a replica or store known to hold more, else where they are expected.
   */
  readonly findFetchSource: (view: PromptView, chosen: string, own: number) => NetworkAddress | undefined;
}

export const createPromptViews = (dependencies: PromptViewDependencies): PromptViews => {
  const { replicas, holders, clock } = dependencies;

  const viewPrompt = (prompt: Prompt, salt: string, sameWeights: readonly ReplicaState[]): PromptView => {
    const cached = holders.find(salt, prompt);
    const reusable = reusableParts(prompt);
    const reusableTokens = reusable.reduce((sum, { tokens }) => sum + tokens, 0);
    const deepest = reusable.at(-1) ?? prompt.parts.at(-1);
    const partHash = hash32(`${salt} ${deepest?.id ?? ""}`);
    const home = rendezvousReplica(partHash, sameWeights)?.entry.id;
    return {
      salt,
      cached,
      partHash,
      sameWeights,
      home,
      copyableTokens: mostCopyableTokens(cached),
      reusableTokens,
    };
  };

  /** Copying from a replica that doesn't answer would delay the request. */
  const isSource = (replica: ReplicaState | undefined, now: number): boolean =>
    replica?.isUnreachable === false && !isBackingOff(replica, now);

  /** @returns The replica known to cache most of the prompt, if it is more than the chosen one caches. */
  const knownSource = (view: PromptView, chosen: string, own: number): CachedAt | undefined => {
    const now = clock.monotonic();
    let best: CachedAt | undefined;
    for (const [id, cached] of view.cached) {
      if (id === chosen || cached.readyTokens <= own || !isSource(replicas.get(id), now)) continue;
      const more = cached.readyTokens - (best?.cached.readyTokens ?? 0);
      if (more > 0 || (more === 0 && cached.usedAt > (best?.cached.usedAt ?? 0))) best = { id, cached };
    }
    return best;
  };

  /** @returns The home; for the home itself, the next replica in the rendezvous order. */
  const expectedSource = (view: PromptView, chosen: string): string | undefined => {
    const { partHash, sameWeights, home } = view;
    const now = clock.monotonic();
    if (home !== undefined && home !== chosen && isSource(replicas.get(home), now)) return home;
    const others = sameWeights.filter((each) => each.entry.id !== chosen && isSource(each, now));
    return rendezvousReplica(partHash, others)?.entry.id;
  };

  /** @returns The store's address, if it is assumed to hold or be receiving all reusable parts. */
  const savedSource = (view: PromptView): NetworkAddress | undefined => {
    const address = dependencies.findStore(view.partHash)?.address;
    if (address === undefined) return undefined;
    return (view.cached.get(address)?.tokens ?? 0) >= view.reusableTokens ? address : undefined;
  };

  /**
   * Also names the store if the chosen replica is assumed to cache everything: it may have evicted parts, and a source
   * that isn't needed costs nothing.
   */
  const findFetchSource = (view: PromptView, chosen: string, own: number): NetworkAddress | undefined => {
    if (view.reusableTokens === 0) return undefined;
    const isOwn = own >= view.reusableTokens;
    const known = isOwn ? undefined : knownSource(view, chosen, own)?.id;
    if (known !== undefined) return replicas.get(known)?.entry.address;
    const saved = savedSource(view);
    if (saved !== undefined || isOwn) return saved;
    const expected = expectedSource(view, chosen);
    return expected === undefined ? undefined : replicas.get(expected)?.entry.address;
  };

  return { viewPrompt, findFetchSource };
};
