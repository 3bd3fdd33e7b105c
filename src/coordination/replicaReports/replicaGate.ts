/** The last check before anything leaves for a replica, by what the replica has reported. */
import { upstreamError } from "../../protocol/errors.ts";
import type { ReplicaGate } from "../../protocol/forwarding/ReplicaGate.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { Clock } from "../clock.ts";
import type { ReportObserver } from "./reportObserver.ts";

export interface ReplicaGateDependencies {
  readonly replicas: Pick<ReplicaTable, "get">;
  readonly observe: ReportObserver;
  readonly clock: Clock;
}

/** Creates a gate before the replicas of a table. */
export const createReplicaGate = ({ replicas, observe, clock }: ReplicaGateDependencies): ReplicaGate => ({
  enter: (replica, id) => {
    const askedAt = clock.monotonic();
    return {
      withhold: () => {
        const known = replicas.get(replica.id);
        if (known === undefined) return upstreamError("the replica is gone", "withheld", "not_sent");
        if (known.entry.isDraining) return upstreamError("the replica drains", "withheld", "not_sent");
        return undefined;
      },
      observe: (report) => observe({ replica, id, askedAt }, report),
    };
  },
});
