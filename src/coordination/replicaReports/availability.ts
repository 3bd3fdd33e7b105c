/** Which replicas of a service may be sent a request now, and when callers are to return where there are none. */
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { Clock } from "../clock.ts";
import { isBackingOff, reopensAt } from "./backoff.ts";
import { drainedRetryAfter, mostSkippedLogged, returnSpread } from "./constants.ts";

export interface AvailabilityDependencies {
  readonly replicas: Pick<ReplicaTable, "serving" | "draining">;
  readonly clock: Clock;
  /** A number from 0 to 1. */
  readonly random: () => number;
}

/** See {@link createAvailability}. */
export interface Availability {
  /** @returns The replicas of a service that neither drain nor ask for backoff. */
  readonly available: (service: string) => readonly ReplicaState[];
  /**
   * @returns Milliseconds after which a caller is to return if no replica of the service is available; nothing if one
   * is, or if none is registered.
   */
  readonly retryAfter: (service: string) => number | undefined;
  /** @returns The replicas that are not available, with the reasons, for the log; nothing if all are. */
  readonly describeSkipped: (service: string) => string | undefined;
}

/** Creates the availability of a table's replicas. */
export const createAvailability = ({ replicas, clock, random }: AvailabilityDependencies): Availability => {
  const available = (service: string): readonly ReplicaState[] => {
    const now = clock.monotonic();
    const serving = replicas.serving(service);
    return serving.some((replica) => isBackingOff(replica, now))
      ? serving.filter((replica) => !isBackingOff(replica, now))
      : serving;
  };

  const describeSkipped = (service: string): string | undefined => {
    const now = clock.monotonic();
    const backingOff = replicas.serving(service).filter((replica) => isBackingOff(replica, now));
    const draining = replicas.draining(service);
    if (backingOff.length + draining.length === 0) return undefined;
    const reasons = [
      ...backingOff.map((replica) => `${replica.entry.id}:backoff:${Math.ceil(reopensAt(replica) - now)}`),
      ...draining.map(({ entry }) => `${entry.id}:draining`),
    ];
    return reasons.slice(0, mostSkippedLogged).join(" ");
  };

  /** Callers return in proportion to the replicas that do, each to the time at which one reopens. */
  const retryAfter = (service: string): number | undefined => {
    if (available(service).length > 0) return undefined;
    const serving = replicas.serving(service);
    const chosen = serving[Math.floor(random() * serving.length)];
    if (chosen !== undefined) {
      const delay = Math.max(0, reopensAt(chosen) - clock.monotonic());
      return delay + random() * Math.max(returnSpread.least, delay * returnSpread.share);
    }
    if (replicas.draining(service).length === 0) return undefined;
    const { shortest, longest } = drainedRetryAfter;
    return shortest + random() * (longest - shortest);
  };

  return { available, retryAfter, describeSkipped };
};
