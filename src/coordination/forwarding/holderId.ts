import type { ReplicaKey } from "../../protocol/forwarding/peerMessage.ts";
import { replicaKeyOf } from "../../protocol/forwarding/peerMessage.ts";
import type { CacheStore } from "../../protocol/forwarding/types.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";

/**
 * @param stores - The stores of prompt parts that the configuration names.
 * @returns The replica or store that a message names as holder of a part; nothing if this router doesn't know it.
 */
export const holderIdOf = (
  replicas: Pick<ReplicaTable, "getByKey">,
  stores: readonly CacheStore[],
  key: ReplicaKey,
): string | undefined =>
  stores.find(({ address }) => replicaKeyOf(address) === key)?.address ?? replicas.getByKey(key)?.entry.id;
