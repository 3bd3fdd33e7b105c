/** Notifies peers of replicas that ask for backoff, so that they prefer other replicas for a short time. */
import { decodeBackoffMessage, encodeBackoffMessage } from "../../protocol/forwarding/backoffMessage.ts";
import type { DatagramAddress, DatagramLink } from "../../protocol/forwarding/DatagramLink.ts";
import { replicaKeyOf } from "../../protocol/forwarding/peerMessage.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { Clock } from "../clock.ts";
import { avoidReplica, spareBrittle } from "./backoff.ts";

export interface BackoffExchangeDependencies {
  readonly link: DatagramLink;
  readonly replicas: Pick<ReplicaTable, "getByKey">;
  readonly clock: Clock;
  /** @returns A number from 0 to 1. */
  readonly random: () => number;
  /** @returns Peers to notify. */
  readonly recipients: () => readonly { readonly at: DatagramAddress }[];
}

/** Starts to apply notifications from peers. @returns A function that notifies them of a replica. */
export const createBackoffExchange = ({
  link,
  replicas,
  clock,
  random,
  recipients,
}: BackoffExchangeDependencies): ((replica: ReplicaState) => void) => {
  link.receive((datagram) => {
    for (const key of decodeBackoffMessage(datagram) ?? []) {
      const replica = replicas.getByKey(key);
      if (replica === undefined) continue;
      avoidReplica(replica, clock.monotonic());
      spareBrittle(replica, clock.monotonic(), random());
    }
  });
  return ({ entry }) => {
    const datagram = encodeBackoffMessage([replicaKeyOf(entry.id)]);
    for (const { at } of recipients()) link.send(at, datagram);
  };
};
