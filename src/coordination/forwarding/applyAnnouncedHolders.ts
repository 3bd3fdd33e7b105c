/** Takes what messages say of who keeps prompt parts. */
import type { ReplicaKey, AnnouncedHolder } from "../../protocol/forwarding/peerMessage.ts";
import { replicaKeyOf } from "../../protocol/forwarding/peerMessage.ts";
import type { CacheStore } from "../../protocol/forwarding/types.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { CacheHolders } from "./cacheHolders.ts";

/** What such word is taken with. */
export interface HolderDependencies {
  readonly replicas: Pick<ReplicaTable, "getByKey">;
  readonly holders: Pick<CacheHolders, "noteKey">;
  /** @returns The stores of prompt parts that the configuration names. */
  readonly cacheStores: () => readonly CacheStore[];
}

/**
 * @param stores - The stores of prompt parts that the configuration names.
 * @returns The replica or store that a message names as holder of a part; nothing if this router doesn't know it.
 */
const holderIdOf = (
  replicas: Pick<ReplicaTable, "getByKey">,
  stores: readonly CacheStore[],
  key: ReplicaKey,
): string | undefined =>
  stores.find(({ address }) => replicaKeyOf(address) === key)?.address ?? replicas.getByKey(key)?.entry.id;

/** Takes word of prompt parts; holders that this router doesn't know yet are left out. */
export const applyAnnouncedHolders = (
  told: readonly AnnouncedHolder[],
  { replicas, holders, cacheStores }: HolderDependencies,
): void => {
  const stores = cacheStores();
  for (const { part, replica, isReady } of told) {
    const holder = holderIdOf(replicas, stores, replica);
    if (holder !== undefined) holders.notePart(part, holder, isReady);
  }
};
