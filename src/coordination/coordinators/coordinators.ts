/**
 * Determines which router coordinates a key, such as an organisation's usage or a replica's rate limit, for all routers:
 * the first in an order that every router computes alike, without a consensus protocol. A router takes over only after
 * it has received nothing from its predecessors for longer than they would keep granting without a majority of data
 * centres, so that two never grant at once. Each coordinator starts with a bucket that is nearly empty.
 */
import type { DatagramAddress } from "../../protocol/forwarding/DatagramLink.ts";
import { hash32 } from "../../protocol/prefixLevels.ts";
import type { Clock } from "../clock.ts";
import { mixHashes } from "../placement/rendezvousReplica.ts";
import type { LiveRouter } from "../replicaOwners/owners.ts";
import {
  dataCentreTimeout,
  maxCandidates,
  roleCheckInterval,
  probeAfter,
  processPauseThreshold,
  successorsToConfirm,
  takeoverTimeout,
} from "./constants.ts";
import { createMonitors } from "./monitors.ts";

export interface CoordinatorsDependencies {
  readonly self: LiveRouter;
  /** @returns The other routers that may be serving, unreachable ones included. */
  readonly others: () => readonly LiveRouter[];
  /** @returns The data centre whose routers come first for a key; `undefined` if none is preferred. */
  readonly nearestDataCentre?: (key: string) => string | undefined;
  /** @returns When the store listed no other router, milliseconds on the monotonic clock; `undefined` if it lists some. */
  readonly listedAloneAt?: () => number | undefined;
  readonly clock: Clock;
}

/** One router's view of which router coordinates each key. */
export interface Coordinators {
  /** @returns All routers in the order in which they coordinate a key, this one included. */
  readonly orderFor: (key: string) => readonly LiveRouter[];
  /** Whether this router coordinates the key now and may grant. */
  readonly isActing: (key: string) => boolean;
  /** Marks a key as active: its successors detect an unreachable coordinator from now on. */
  readonly monitor: (key: string) => void;
  /** Notes that a datagram of any kind was received from a router. */
  readonly noteReceived: (from: DatagramAddress) => void;
  /** Notes that a router has answered this one, and so knows it. */
  readonly noteAnswer: (from: DatagramAddress) => void;
  /** @returns The routers to ask for a heartbeat, since a monitored key may depend on whether they are reachable. */
  readonly routersToProbe: () => ReadonlySet<LiveRouter>;
  /** Detects that this process was paused; to be called at least every {@link roleCheckInterval}. */
  readonly poll: () => void;
}

interface KnownRouter {
  readonly router: LiveRouter;
  readonly hash: number;
  readonly knownSince: number;
  lastSeenAt: number | undefined;
  /** When it last answered a query of this router. */
  answeredAt: number | undefined;
}

const addressKey = ({ address, port }: DatagramAddress): string => `${address}:${port}`;

/** Orders routers alike in every router: those of the nearest data centre first, otherwise by rendezvous hashing. */
const sortForKey = (
  key: string,
  nearest: string | undefined,
  members: readonly Pick<KnownRouter, "router" | "hash">[],
): readonly LiveRouter[] => {
  const keyHash = hash32(key);
  const scored = members.map(({ router, hash }) => ({
    router,
    distance: nearest === undefined || router.dataCentre === nearest ? 0 : 1,
    score: mixHashes(keyHash, hash),
  }));
  scored.sort(
    (left, right) =>
      left.distance - right.distance ||
      right.score - left.score ||
      (left.router.name < right.router.name ? -1 : 1),
  );
  return scored.map(({ router }) => router);
};

/**
 * Whether most data centres are reachable. Of two halves that reach only themselves, the one with the data centre whose
 * name comes first goes on.
 */
const isMajority = (reachable: ReadonlyMap<string, boolean>): boolean => {
  const sorted = [...reachable].sort(([left], [right]) => (left < right ? -1 : 1));
  const count = sorted.filter(([, isReachable]) => isReachable).length;
  return count * 2 > sorted.length || (count * 2 === sorted.length && sorted[0]?.[1] === true);
};

/** Creates one router's view of the coordinators. */
export const createCoordinators = (dependencies: CoordinatorsDependencies): Coordinators => {
  const { self, others, nearestDataCentre, listedAloneAt = () => undefined, clock } = dependencies;
  const startedAt = clock.monotonic();
  let known = new Map<string, KnownRouter>();
  let byAddress = new Map<string, KnownRouter>();
  let orders = new Map<string, readonly LiveRouter[]>();
  const monitors = createMonitors(clock);
  let refreshedAt = Number.NEGATIVE_INFINITY;
  let polledAt = startedAt;
  /** Since when this process has run without a pause; its view of the others is continuous from then on. */
  let runningSince = startedAt;

  const detectPause = (): void => {
    const now = clock.monotonic();
    if (now - polledAt > processPauseThreshold) runningSince = now;
    polledAt = now;
  };

  const refreshRouters = (): void => {
    const now = clock.monotonic();
    if (now - refreshedAt < roleCheckInterval) return;
    refreshedAt = now;
    const byName = new Map<string, KnownRouter>();
    const addresses = new Map<string, KnownRouter>();
    for (const router of others()) {
      const before = known.get(router.name);
      const { knownSince, lastSeenAt, answeredAt } = before ?? {
        knownSince: now,
        lastSeenAt: undefined,
        answeredAt: undefined,
      };
      const entry = { router, hash: before?.hash ?? hash32(router.name), knownSince, lastSeenAt, answeredAt };
      byName.set(router.name, entry);
      addresses.set(addressKey(router.at), entry);
    }
    known = byName;
    byAddress = addresses;
    orders = new Map();
  };

  const orderFor = (key: string): readonly LiveRouter[] => {
    refreshRouters();
    const cached = orders.get(key);
    if (cached !== undefined) return cached;
    const members = [...known.values(), { router: self, hash: hash32(self.name) }];
    const order = sortForKey(key, nearestDataCentre?.(key), members);
    orders.set(key, order);
    return order;
  };

  /** @returns Milliseconds since a router was last seen, or since it became known if it never was. */
  const timeSinceSeen = ({ name }: LiveRouter): number => {
    const entry = known.get(name);
    if (entry === undefined) return Number.POSITIVE_INFINITY;
    return clock.monotonic() - (entry.lastSeenAt ?? entry.knownSince);
  };

  /** Whether this router receives from a majority of data centres. */
  const hasQuorum = (): boolean => {
    const reachable = new Map<string, boolean>();
    for (const { router } of known.values()) {
      const isRecent = timeSinceSeen(router) < dataCentreTimeout;
      reachable.set(router.dataCentre, (reachable.get(router.dataCentre) ?? false) || isRecent);
    }
    if (!reachable.has(self.dataCentre)) reachable.set(self.dataCentre, true);
    return isMajority(reachable);
  };

  const isAlive = (router: LiveRouter): boolean => timeSinceSeen(router) < takeoverTimeout;

  /** The routers before this one in the order of a key, and the first few after it. */
  const neighboursFor = (key: string) => {
    const order = orderFor(key);
    const own = order.findIndex(({ name }) => name === self.name);
    return {
      predecessors: order.slice(0, own),
      successors: order.slice(own + 1, own + 1 + successorsToConfirm),
    };
  };

  /** Whether the routers that may have coordinated the key meanwhile know that this one is running again. */
  const isKnownToSuccessors = (key: string): boolean =>
    neighboursFor(key).successors.every(({ name }) => {
      const answeredAt = known.get(name)?.answeredAt;
      return answeredAt !== undefined && answeredAt >= runningSince;
    });

  /** Whether the store listed no other router since this process began to run without a pause, and none is known. */
  const isAlone = (): boolean =>
    known.size === 0 && (listedAloneAt() ?? Number.NEGATIVE_INFINITY) >= runningSince;

  /** Whether enough time has passed since the start, or no other router can be the coordinator. */
  const mayBegin = (key: string): boolean =>
    clock.monotonic() - runningSince >= takeoverTimeout ||
    isAlone() ||
    (known.size > 0 && isKnownToSuccessors(key));

  /** One router of each data centre not seen recently: without a majority of them a coordinator grants nothing. */
  const dataCentresToProbe = (): readonly LiveRouter[] => {
    const latest = new Map<string, LiveRouter>();
    for (const { router } of known.values()) {
      const before = latest.get(router.dataCentre);
      if (before === undefined || timeSinceSeen(router) < timeSinceSeen(before)) {
        latest.set(router.dataCentre, router);
      }
    }
    return [...latest.values()].filter((router) => timeSinceSeen(router) > probeAfter);
  };

  const routersToProbeFor = (key: string): readonly LiveRouter[] => {
    const { predecessors, successors } = neighboursFor(key);
    if (predecessors.length >= maxCandidates && predecessors.some(isAlive)) return [];
    const stale = predecessors.filter((router) => timeSinceSeen(router) > probeAfter);
    const isNew = clock.monotonic() - runningSince < takeoverTimeout;
    return isNew && !isKnownToSuccessors(key) ? [...stale, ...successors] : stale;
  };

  const entryAt = (from: DatagramAddress): KnownRouter | undefined => {
    refreshRouters();
    return byAddress.get(addressKey(from));
  };

  return {
    orderFor,
    isActing: (key) => {
      detectPause();
      const { predecessors } = neighboursFor(key);
      // A successor can't know that its predecessors are unreachable before it has monitored the key for the timeout.
      if (predecessors.some(isAlive) || (predecessors.length > 0 && !monitors.isEstablished(key)))
        return false;
      return mayBegin(key) && hasQuorum();
    },
    monitor: monitors.monitor,
    noteReceived: (from) => {
      const entry = entryAt(from);
      if (entry !== undefined) entry.lastSeenAt = clock.monotonic();
    },
    noteAnswer: (from) => {
      const entry = entryAt(from);
      if (entry !== undefined) entry.answeredAt = clock.monotonic();
    },
    routersToProbe: () => {
      const keys = monitors.keys();
      const mayCoordinate = keys.some((key) => !neighboursFor(key).predecessors.some(isAlive));
      return new Set([...keys.flatMap(routersToProbeFor), ...(mayCoordinate ? dataCentresToProbe() : [])]);
    },
    poll: detectPause,
  };
};
