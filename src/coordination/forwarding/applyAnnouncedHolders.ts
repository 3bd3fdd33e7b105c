/** Applies what messages announce about holders of prompt parts: replicas and cache stores. */
import type { ReplicaKey, AnnouncedHolder } from "../../protocol/forwarding/peerMessage.ts";
import { replicaKeyOf } from "../../protocol/forwarding/peerMessage.ts";
import type { CacheStore } from "../../protocol/forwarding/types.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { CacheHolders } from "./cacheHolders.ts";

export interface HolderDependencies {
  readonly replicas: Pick<ReplicaTable, "getByKey">;
  readonly holders: Pick<CacheHolders, "notePart">;
  /** @returns The configured cache stores. */
  readonly cacheStores: () => readonly CacheStore[];
}

/**
 * @param stores - The configured cache stores.
 * @returns The id of the replica, or the address of the store, with this key; `undefined` if neither is known.
 */
const holderIdOf = (
  replicas: Pick<ReplicaTable, "getByKey">,
  stores: readonly CacheStore[],
  key: ReplicaKey,
): string | undefined =>
  stores.find(({ address }) => replicaKeyOf(address) === key)?.address ?? replicas.getByKey(key)?.entry.id;

/** Records announced holders of prompt parts; holders that this router does not know yet are ignored. */
export const applyAnnouncedHolders = (
  announced: readonly AnnouncedHolder[],
  { replicas, holders, cacheStores }: HolderDependencies,
): void => {
  const stores = cacheStores();
  for (const { part, replica, isReady } of announced) {
    const holder = holderIdOf(replicas, stores, replica);
    if (holder !== undefined) holders.notePart(part, holder, isReady);
  }
};
