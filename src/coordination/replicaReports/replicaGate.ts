/** The last check before anything is sent to a replica, by what the replica has reported. */
import { upstreamError } from "../../protocol/errors.ts";
import type { ReplicaGate } from "../../protocol/forwarding/ReplicaGate.ts";
import { metricNames } from "../../state/constants.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { Metrics } from "../../state/Metrics.ts";
import type { Clock } from "../clock.ts";
import { maySend, noteSent } from "./backoff.ts";
import type { ReportObserver } from "./reportObserver.ts";

export interface ReplicaGateDependencies {
  readonly replicas: Pick<ReplicaTable, "get">;
  readonly observe: ReportObserver;
  readonly metrics: Metrics;
  readonly clock: Clock;
}

/**
 * @param askedAt - When the request was handed to the client, milliseconds on the monotonic clock.
 * @returns Why nothing may be sent to the replica; `undefined` if the request may.
 */
const reasonToWithhold = (
  replica: ReplicaState | undefined,
  askedAt: number,
  now: number,
): string | undefined => {
  if (replica === undefined) return "is gone";
  if (replica.entry.isDraining) return "drains";
  return maySend(replica, askedAt, now) ? undefined : "asked for backoff";
};

/** Creates a gate for the replicas of a table. */
export const createReplicaGate = ({
  replicas,
  observe,
  metrics,
  clock,
}: ReplicaGateDependencies): ReplicaGate => ({
  enter: (replica, id) => {
    const askedAt = clock.monotonic();
    const state = id === undefined ? undefined : replicas.get(replica.id);
    if (state !== undefined) noteSent(state, askedAt);
    return {
      withhold: () => {
        const reason = reasonToWithhold(replicas.get(replica.id), askedAt, clock.monotonic());
        if (reason === undefined) return undefined;
        metrics.count(metricNames.requestsWithheld);
        return upstreamError(`the replica ${reason}`, "withheld", "not_sent");
      },
      observe: (report) => observe({ replica, id, askedAt }, report),
    };
  },
});
