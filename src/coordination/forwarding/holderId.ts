import type { ReplicaKey } from "../../protocol/forwarding/peerMessage.ts";
import { replicaKeyOf } from "../../protocol/forwarding/peerMessage.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";

/**
 * @param store - The address of the store of prompt parts, if there is one.
 * @returns The replica or store that a message names as holder of a part; nothing if this router doesn't know it.
 */
export const holderIdOf = (
  replicas: Pick<ReplicaTable, "getByKey">,
  store: string | undefined,
  key: ReplicaKey,
): string | undefined =>
  store !== undefined && replicaKeyOf(store) === key ? store : replicas.getByKey(key)?.entry.id;
