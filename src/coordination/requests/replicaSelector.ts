/** Selects the replica of a plain service that a call is sent to. */
import { hash64 } from "../../protocol/prefixLevels.ts";
import type { ServiceDirectory, ServiceReplica } from "../../state/serviceDirectory.ts";
import type { Clock } from "../clock.ts";
import { refusals } from "./refusals.ts";

const retryAfterSeconds = 1;
/** How long a failed replica is ranked last, milliseconds. */
const failureMemoryTime = 2_000;
/** Penalties are added to the number of calls in flight. */
const failedPenalty = 1_000_000;
const remotePenalty = 1_000;

/** What a replica is selected by. */
export interface ReplicaCriteria {
  readonly service: string;
  readonly excluded: ReadonlySet<string>;
  /**
   * Calls with the same key go to the same replica as long as it is available. For services that deduplicate calls by
   * idempotency key themselves. `undefined` selects by load.
   */
  readonly stickyKey: string | undefined;
}

export interface ReplicaSelector {
  /** @returns The best replica; throws `RequestError` (`no_service_replica`) if there is none. */
  readonly choose: (choice: ReplicaCriteria) => ServiceReplica;
}

/**
 * Creates a selector. It prefers replicas that have not failed recently, then replicas in this data centre, then replicas
 * with few calls in flight. It never selects a replica that is leaving.
 *
 * @param dataCentre - The data centre of this router.
 */
export const createReplicaSelector = (
  directory: ServiceDirectory,
  clock: Clock,
  dataCentre: string,
): ReplicaSelector => {
  const costOf = ({ failedAt, dataCentre: replicaDataCentre, inFlight }: ServiceReplica): number => {
    const hasFailed = failedAt !== undefined && clock.monotonic() - failedAt < failureMemoryTime;
    return (
      (hasFailed ? failedPenalty : 0) + (replicaDataCentre === dataCentre ? 0 : remotePenalty) + inFlight
    );
  };

  const compareByStickyHash = (key: string) => (left: ServiceReplica, right: ServiceReplica) =>
    hash64(`${key}\u0000${left.id}`) < hash64(`${key}\u0000${right.id}`) ? -1 : 1;

  const choose = ({ service, excluded, stickyKey }: ReplicaCriteria): ServiceReplica => {
    const candidates = directory
      .ofService(service)
      .filter((replica) => !replica.leaving && !excluded.has(replica.id));
    const compare =
      stickyKey === undefined
        ? (left: ServiceReplica, right: ServiceReplica) => costOf(left) - costOf(right)
        : compareByStickyHash(stickyKey);
    const [best] = candidates.sort(compare);
    if (best === undefined) throw refusals.noServiceReplica(retryAfterSeconds);
    return best;
  };

  return { choose };
};
