/**
 * Which router keeps the count of an organisation's use: the one that comes first in an order that every router
 * computes alike. Nobody agrees on it. One that takes over has heard nothing of those before it for longer than they
 * would go on without hearing most data centres, so that two never grant at once; each begins with a bucket that is nearly empty.
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

/** What keepers are found with. */
export interface KeepersParts {
  readonly self: LiveRouter;
  /** @returns The other routers that may be serving, silent ones included. */
  readonly others: () => readonly LiveRouter[];
  readonly clock: Clock;
}

/** See {@link createKeepers}. */
export interface Keepers {
  /** @returns The routers from the first to the last that may keep an organisation's count, this one included. */
  readonly orderFor: (organisation: string) => readonly LiveRouter[];
  /** Whether this router is the one to grant at this moment. */
  readonly isActing: (organisation: string) => boolean;
  /** Any datagram has come. */
  readonly hear: (from: DatagramAddress) => void;
  /** A router has answered: it has heard of this one. */
  readonly hearAnswer: (from: DatagramAddress) => void;
  /** @returns The routers to ask for a sign of life, since a count of an organisation may wait for it. */
  readonly worthProbing: (organisation: string) => readonly LiveRouter[];
  /** To be called at least every {@link lookInterval}: notices that this process stood still. */
  readonly look: () => void;
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

/** Creates a view of the keepers as one router has it. */
export const createKeepers = ({ self, others, clock }: KeepersParts): Keepers => {
  const startedAt = clock.monotonic();
  let known = new Map<string, Known>();
  let byAddress = new Map<string, Known>();
  let orders = new Map<string, readonly LiveRouter[]>();
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

  const orderFor = (organisation: string): readonly LiveRouter[] => {
    readOthers();
    const before = orders.get(organisation);
    if (before !== undefined) return before;
    const key = hash32(organisation);
    const scored = [...known.values(), { router: self, hash: hash32(self.name) }].map(({ router, hash }) => ({
      router,
      score: mixHashes(key, hash),
    }));
    scored.sort((left, right) => right.score - left.score || (left.router.name < right.router.name ? -1 : 1));
    const order = scored.map(({ router }) => router);
    orders.set(organisation, order);
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
  const aroundSelf = (organisation: string) => {
    const order = orderFor(organisation);
    const own = order.findIndex(({ name }) => name === self.name);
    return { before: order.slice(0, own), next: order.slice(own + 1, own + 1 + answersBeforeActing) };
  };

  /** Whether those that may have kept the count meanwhile know that this router is back. */
  const isKnownToNext = (organisation: string): boolean =>
    aroundSelf(organisation).next.every(({ name }) => {
      const answeredAt = known.get(name)?.answeredAt;
      return answeredAt !== undefined && answeredAt >= awakeSince;
    });

  /** Long enough after its start, or sooner where nobody else can be the keeper. */
  const mayBegin = (organisation: string): boolean =>
    clock.monotonic() - awakeSince >= takeoverSilence || (known.size > 0 && isKnownToNext(organisation));

  const entryAt = (from: DatagramAddress): Known | undefined => {
    readOthers();
    return byAddress.get(addressKey(from));
  };

  return {
    orderFor,
    isActing: (organisation) => {
      noteStandstill();
      if (aroundSelf(organisation).before.some(isHeard)) return false;
      return mayBegin(organisation) && hearsMost();
    },
    hear: (from) => {
      const entry = entryAt(from);
      if (entry !== undefined) entry.heardAt = clock.monotonic();
    },
    hearAnswer: (from) => {
      const entry = entryAt(from);
      if (entry !== undefined) entry.answeredAt = clock.monotonic();
    },
    worthProbing: (organisation) => {
      const { before, next } = aroundSelf(organisation);
      if (before.length >= keepersTried && before.some(isHeard)) return [];
      const silent = before.filter((router) => silenceOf(router) > probeSilence);
      const isNew = clock.monotonic() - awakeSince < takeoverSilence;
      return isNew && !isKnownToNext(organisation) ? [...silent, ...next] : silent;
    },
    look: noteStandstill,
  };
};
