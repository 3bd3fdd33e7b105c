/** Which replica of a plain service to call. */
import { hash64 } from "../../protocol/prefixLevels.ts";
import type { ServiceDirectory, ServiceReplica } from "../../state/serviceDirectory.ts";
import type { Clock } from "../clock.ts";
import { refusals } from "./refusals.ts";

const retryAfterSeconds = 1;
/** A replica that failed is asked last for this long, milliseconds. */
const failureMemory = 2_000;
const failedRank = 1_000_000;
const remoteRank = 1_000;

/** What a choice depends on. */
export interface ReplicaCriteria {
  readonly service: string;
  readonly excluded: ReadonlySet<string>;
  /**
   * Sends the same key to the same replica, as far as it is there: for calls that rely on the service itself
   * to run a key once.
   */
  readonly stickyKey: string | undefined;
}

/** Chooses replicas. */
export interface ReplicaSelector {
  /** @returns The best replica; throws `RequestError` (`no_service_replica`) where there is none. */
  readonly choose: (choice: ReplicaCriteria) => ServiceReplica;
}

/** Makes a chooser: not leaving, not failed of late, near, with few calls under way, in this order. */
export const createReplicaSelector = (
  directory: ServiceDirectory,
  clock: Clock,
  dataCentre: string,
): ReplicaSelector => {
  const rank = ({ failedAt, dataCentre: where, inFlight }: ServiceReplica): number => {
    const hasFailed = failedAt !== undefined && clock.monotonic() - failedAt < failureMemory;
    return (hasFailed ? failedRank : 0) + (where === dataCentre ? 0 : remoteRank) + inFlight;
  };

  const stickyOrder = (key: string) => (left: ServiceReplica, right: ServiceReplica) =>
    hash64(`${key}\u0000${left.id}`) < hash64(`${key}\u0000${right.id}`) ? -1 : 1;

  const choose = ({ service, excluded, stickyKey }: ReplicaCriteria): ServiceReplica => {
    const candidates = directory
      .ofService(service)
      .filter((replica) => !replica.leaving && !excluded.has(replica.id));
    const order =
      stickyKey === undefined
        ? (left: ServiceReplica, right: ServiceReplica) => rank(left) - rank(right)
        : stickyOrder(stickyKey);
    const [best] = candidates.sort(order);
    if (best === undefined) throw refusals.noServiceReplica(retryAfterSeconds);
    return best;
  };

  return { choose };
};
