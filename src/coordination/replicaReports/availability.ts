/** Which replicas of a service may be sent a request now, and when callers should retry where there are none. */
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import { totalRequests } from "../../state/forwarding/replicaState.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { Clock } from "../clock.ts";
import { isBackingOff, reopensAt } from "./backoff.ts";
import { drainedRetryAfter, maxSkippedLogged, retryJitter } from "./constants.ts";

export interface AvailabilityDependencies {
  readonly replicas: Pick<ReplicaTable, "serving" | "draining">;
  readonly clock: Clock;
  /** @returns How many routers may be serving, this one included. */
  readonly countRouters: () => number;
  /** A number from 0 to 1. */
  readonly random: () => number;
}

/** The replicas that neither drain nor back off, nor are brittle and full. A draining replica gets no new work. */
export interface Availability {
  /** @returns The available replicas of a service. */
  readonly available: (service: string) => readonly ReplicaState[];
  /**
   * @returns Milliseconds after which a caller should retry if no replica of the service is available; `undefined` if
   * one is, or if none is registered.
   */
  readonly retryAfter: (service: string) => number | undefined;
  /** @returns The replicas that are not available, with the reasons, for the log; `undefined` if all are. */
  readonly describeSkipped: (service: string) => string | undefined;
  /** @returns How many replicas of a service serve, and how many of them this router can't reach. */
  readonly countReachable: (service: string) => ReachableCount;
}

/** How many replicas of a service there are, as this router sees them. */
export interface ReachableCount {
  readonly serving: number;
  readonly unreachable: number;
}

/**
 * Whether a request may find no room at a brittle replica: all places are taken, or half of them while this router has
 * its part of them, since other routers may send there at the same moment.
 */
const isFull = (replica: ReplicaState, countRouters: () => number): boolean => {
  const { brittleRejections, requests, entry } = replica;
  if (brittleRejections === undefined) return false;
  const total = totalRequests(replica);
  return total >= entry.slots || (total >= entry.slots / 2 && requests >= entry.slots / countRouters());
};

/** Creates the view of which replicas in a table are available. */
export const createAvailability = ({
  replicas,
  clock,
  countRouters,
  random,
}: AvailabilityDependencies): Availability => {
  const isClosed = (replica: ReplicaState, now: number): boolean =>
    isBackingOff(replica, now) || isFull(replica, countRouters);

  const available = (service: string): readonly ReplicaState[] => {
    const now = clock.monotonic();
    const serving = replicas.serving(service);
    return serving.some((replica) => isClosed(replica, now))
      ? serving.filter((replica) => !isClosed(replica, now))
      : serving;
  };

  const describeSkipped = (service: string): string | undefined => {
    const now = clock.monotonic();
    const backingOff = replicas.serving(service).filter((replica) => isBackingOff(replica, now));
    const draining = replicas.draining(service);
    const full = replicas.serving(service).filter((replica) => isFull(replica, countRouters));
    if (backingOff.length + draining.length + full.length === 0) return undefined;
    const reasons = [
      ...backingOff.map((replica) => `${replica.entry.id}:backoff:${Math.ceil(reopensAt(replica) - now)}`),
      ...full.map(({ entry }) => `${entry.id}:full`),
      ...draining.map(({ entry }) => `${entry.id}:draining`),
    ];
    return reasons.slice(0, maxSkippedLogged).join(" ");
  };

  /** Each caller gets the time at which a replica chosen at random reopens, so that callers spread over the replicas. */
  const retryAfter = (service: string): number | undefined => {
    if (available(service).length > 0) return undefined;
    const serving = replicas.serving(service);
    const chosen = serving[Math.floor(random() * serving.length)];
    if (chosen !== undefined) {
      const delay = Math.max(0, reopensAt(chosen) - clock.monotonic());
      return delay + random() * Math.max(retryJitter.least, delay * retryJitter.share);
    }
    if (replicas.draining(service).length === 0) return undefined;
    const { shortest, longest } = drainedRetryAfter;
    return shortest + random() * (longest - shortest);
  };

  const countReachable = (service: string): ReachableCount => {
    const serving = replicas.serving(service);
    const unreachable = serving.filter(({ isUnreachable }) => isUnreachable);
    return { serving: serving.length, unreachable: unreachable.length };
  };

  return { available, retryAfter, describeSkipped, countReachable };
};
