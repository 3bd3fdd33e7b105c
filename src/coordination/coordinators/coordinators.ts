/**
 * Which router keeps something for all, such as the count of an organisation's use or what a replica takes: the one that
 * comes first in an order that every router computes alike. Nobody agrees on it. One that takes over has heard nothing
 * of those before it for longer than they would go on without hearing most data centres, so that two never grant at
 * once; each begins with a bucket that is nearly empty.
 */
import type { DatagramAddress } from "../../protocol/forwarding/DatagramLink.ts";
import { hash32 } from "../../protocol/prefixLevels.ts";
import type { Clock } from "../clock.ts";
import { mixHashes } from "../forwarding/rendezvousReplica.ts";
import type { LiveRouter } from "../replicaOwners/owners.ts";
import {
  answersBeforeActing,
  keepersTried,
  lookInterval,
  probeSilence,
  quorumSilence,
  standstill,
  takeoverSilence,
} from "./constants.ts";
import { createWatches } from "./monitors.ts";

/** What keepers are found with. */
export interface CoordinatorsDependencies {
  readonly self: LiveRouter;
  /** @returns The other routers that may be serving, silent ones included. */
  readonly others: () => readonly LiveRouter[];
  /** @returns The data centre whose routers come first for a subject; nothing if none is nearer than others. */
  readonly nearestDataCentre?: (subject: string) => string | undefined;
  readonly clock: Clock;
}

/** See {@link createCoordinators}. */
export interface Coordinators {
  /** @returns The routers from the first to the last that may keep a subject, this one included. */
  readonly orderFor: (subject: string) => readonly LiveRouter[];
  /** Whether this router is the one to grant at this moment. */
  readonly isActing: (subject: string) => boolean;
  /** The subject is of use now: those that come after its keeper notice its silence from here on. */
  readonly monitor: (subject: string) => void;
  /** Any datagram has come. */
  readonly noteReceived: (from: DatagramAddress) => void;
  /** A router has answered: it has heard of this one. */
  readonly noteAnswer: (from: DatagramAddress) => void;
  /** @returns The routers to ask for a sign of life, since a subject that is watched may wait for it. */
  readonly routersToProbe: () => ReadonlySet<LiveRouter>;
  /** To be called at least every {@link lookInterval}: notices that this process stood still. */
  readonly poll: () => void;
}

interface Known {
  readonly router: LiveRouter;
  readonly hash: number;
  readonly firstAt: number;
  heardAt: number | undefined;
  /** When it last answered a question of this router. */
  answeredAt: number | undefined;
}

const addressKey = ({ address, port }: DatagramAddress): string => `${address}:${port}`;

/** The same in every router: those of the nearest data centre first, else by rendezvous. */
const inOrderFor = (
  subject: string,
  near: string | undefined,
  members: readonly Pick<Known, "router" | "hash">[],
): readonly LiveRouter[] => {
  const key = hash32(subject);
  const scored = members.map(({ router, hash }) => ({
    router,
    distance: near === undefined || router.dataCentre === near ? 0 : 1,
    score: mixHashes(key, hash),
  }));
  scored.sort(
    (left, right) =>
      left.distance - right.distance ||
      right.score - left.score ||
      (left.router.name < right.router.name ? -1 : 1),
  );
  return scored.map(({ router }) => router);
};

/** Creates a view of the keepers as one router has it. */
export const createCoordinators = ({
  self,
  others,
  nearestDataCentre: nearestTo,
  clock,
}: CoordinatorsDependencies): Coordinators => {
  const startedAt = clock.monotonic();
  let known = new Map<string, Known>();
  let byAddress = new Map<string, Known>();
  let orders = new Map<string, readonly LiveRouter[]>();
  const watches = createWatches(clock);
  let readAt = Number.NEGATIVE_INFINITY;
  let lookedAt = startedAt;
  /** Since when what this process believes is of one piece. */
  let awakeSince = startedAt;

  const noteStandstill = (): void => {
    const now = clock.monotonic();
    if (now - lookedAt > standstill) awakeSince = now;
    lookedAt = now;
  };

  const readOthers = (): void => {
    const now = clock.monotonic();
    if (now - readAt < lookInterval) return;
    readAt = now;
    const read = new Map<string, Known>();
    const addresses = new Map<string, Known>();
    for (const router of others()) {
      const before = known.get(router.name);
      const { firstAt, heardAt, answeredAt } = before ?? {
        firstAt: now,
        heardAt: undefined,
        answeredAt: undefined,
      };
      const entry = { router, hash: before?.hash ?? hash32(router.name), firstAt, heardAt, answeredAt };
      read.set(router.name, entry);
      addresses.set(addressKey(router.at), entry);
    }
    known = read;
    byAddress = addresses;
    orders = new Map();
  };

  const orderFor = (subject: string): readonly LiveRouter[] => {
    readOthers();
    const before = orders.get(subject);
    if (before !== undefined) return before;
    const members = [...known.values(), { router: self, hash: hash32(self.name) }];
    const order = inOrderFor(subject, nearestTo?.(subject), members);
    orders.set(subject, order);
    return order;
  };

  /** @returns Milliseconds since a router was heard; counted from when it was first known if it never was. */
  const silenceOf = ({ name }: LiveRouter): number => {
    const entry = known.get(name);
    if (entry === undefined) return Number.POSITIVE_INFINITY;
    return clock.monotonic() - (entry.heardAt ?? entry.firstAt);
  };

  /** Whether most data centres are heard; of two that hear only themselves, the one that comes first goes on. */
  const hearsMost = (): boolean => {
    const heard = new Map<string, boolean>();
    for (const { router } of known.values()) {
      const isHeard = silenceOf(router) < quorumSilence;
      heard.set(router.dataCentre, (heard.get(router.dataCentre) ?? false) || isHeard);
    }
    if (!heard.has(self.dataCentre)) heard.set(self.dataCentre, true);
    const centres = [...heard].sort(([left], [right]) => (left < right ? -1 : 1));
    const count = centres.filter(([, isHeard]) => isHeard).length;
    return count * 2 > centres.length || (count * 2 === centres.length && centres[0]?.[1] === true);
  };

  const isHeard = (router: LiveRouter): boolean => silenceOf(router) < takeoverSilence;

  /** The order around this router. */
  const aroundSelf = (subject: string) => {
    const order = orderFor(subject);
    const own = order.findIndex(({ name }) => name === self.name);
    return { before: order.slice(0, own), next: order.slice(own + 1, own + 1 + answersBeforeActing) };
  };

  /** Whether those that may have kept the count meanwhile know that this router is back. */
  const isKnownToNext = (subject: string): boolean =>
    aroundSelf(subject).next.every(({ name }) => {
      const answeredAt = known.get(name)?.answeredAt;
      return answeredAt !== undefined && answeredAt >= awakeSince;
    });

  /** Long enough after its start, or sooner where nobody else can be the keeper. */
  const mayBegin = (subject: string): boolean =>
    clock.monotonic() - awakeSince >= takeoverSilence || (known.size > 0 && isKnownToNext(subject));

  /** One router of each data centre that was not heard of late: a keeper that hears too few grants nothing. */
  const silentCentres = (): readonly LiveRouter[] => {
    const latest = new Map<string, LiveRouter>();
    for (const { router } of known.values()) {
      const before = latest.get(router.dataCentre);
      if (before === undefined || silenceOf(router) < silenceOf(before)) {
        latest.set(router.dataCentre, router);
      }
    }
    return [...latest.values()].filter((router) => silenceOf(router) > probeSilence);
  };

  const worthProbingFor = (subject: string): readonly LiveRouter[] => {
    const { before, next } = aroundSelf(subject);
    if (before.length >= keepersTried && before.some(isHeard)) return [];
    const silent = before.filter((router) => silenceOf(router) > probeSilence);
    const isNew = clock.monotonic() - awakeSince < takeoverSilence;
    return isNew && !isKnownToNext(subject) ? [...silent, ...next] : silent;
  };

  const entryAt = (from: DatagramAddress): Known | undefined => {
    readOthers();
    return byAddress.get(addressKey(from));
  };

  return {
    orderFor,
    isActing: (subject) => {
      noteStandstill();
      const { before } = aroundSelf(subject);
      // One that comes later can't know whether those before it are silent until it has looked for as long.
      if (before.some(isHeard) || (before.length > 0 && !watches.isLong(subject))) return false;
      return mayBegin(subject) && hearsMost();
    },
    monitor: watches.watch,
    noteReceived: (from) => {
      const entry = entryAt(from);
      if (entry !== undefined) entry.heardAt = clock.monotonic();
    },
    noteAnswer: (from) => {
      const entry = entryAt(from);
      if (entry !== undefined) entry.answeredAt = clock.monotonic();
    },
    routersToProbe: () => {
      const subjects = watches.subjects();
      const mayKeep = subjects.some((subject) => !aroundSelf(subject).before.some(isHeard));
      return new Set([...subjects.flatMap(worthProbingFor), ...(mayKeep ? silentCentres() : [])]);
    },
    poll: noteStandstill,
  };
};
