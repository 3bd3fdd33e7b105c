/**
 * Messages between the routers of a system, in datagrams: the work that each has at replicas, updates about weights and
 * departures, and how fresh its configuration is.
 *
 * A router finds the others in the platform's store when it starts; they learn of it from its first message.
 */
import type { DatagramAddress, DatagramLink } from "../../protocol/forwarding/DatagramLink.ts";
import type { RouterMessage, AnnouncedWork } from "../../protocol/forwarding/peerMessage.ts";
import {
  decodeRouterMessage,
  encodeRouterMessage,
  replicaKeyOf,
} from "../../protocol/forwarding/peerMessage.ts";
import type { RouterEntry } from "../../protocol/forwarding/types.ts";
import type { EpochSource } from "../../protocol/storeEpoch.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import { toOrganisationWork, wholeTokens } from "../../state/forwarding/replicaState.ts";
import type { ConfigurationState } from "./configurationState.ts";
import { createBackoffExchange } from "../replicaReports/backoffExchange.ts";
import { storeReaderCount } from "../storeReading/constants.ts";
import { updateDelay, largeFleetUpdateDelay, peerMessageIntervals } from "./constants.ts";
import { createLostPeerContact } from "./lostPeers.ts";
import type { Peer, PeerTable } from "./peerTable.ts";
import { createPeerTable } from "./peerTable.ts";
import type { Audience, RouterUpdates } from "./routerUpdates.ts";
import { createRouterUpdates } from "./routerUpdates.ts";
import type { PeerMessageDependencies } from "./applyPeerMessage.ts";
import { echoedSentAt, expirePeers, applyPeerMessage } from "./applyPeerMessage.ts";

export interface RouterPeersDependencies extends PeerMessageDependencies {
  readonly epochs: EpochSource;
  readonly self: RouterEntry;
  readonly link: DatagramLink;
  /** Whether this router has no path to any replica; by default it has one. */
  readonly isPartitioned?: () => boolean;
  /** A router whose last own read of the store is older takes no duties that need the store; milliseconds. */
  readonly maxReadAge: () => number;
}

/** The other routers, and what is announced to them. */
export interface RouterPeers extends AsyncDisposable {
  /** Adds routers that are registered in the store. */
  readonly add: (entries: readonly RouterEntry[]) => void;
  /** @returns Names of the live routers, this one included. */
  readonly live: () => readonly string[];
  /** @returns How many routers were live at the last tick, this one included. */
  readonly countLive: () => number;
  /** @returns The other routers that may be serving, including unreachable ones. */
  readonly serving: () => readonly Peer[];
  /**
   * @param longestAge - How old the proof of a router's configuration may be, milliseconds.
   * @returns Names of live routers that take duties, reach replicas and have a fresh configuration. Where there are many routers,
   * only those of this data centre that read the store for others: the others do not know whether they reach the store,
   * and messages from other data centres come too rarely.
   */
  readonly dutyCandidates: (longestAge: number) => readonly string[];
  /** @returns The live routers that report a path to replicas. */
  readonly relayCandidates: () => readonly Peer[];
  /** Whether there are so many routers that duties are divided between them. */
  readonly isLarge: () => boolean;
  /** Whether this router reads the store for others of its data centre. */
  readonly isStoreReader: () => boolean;
  /** Whether this router is the first of those, which reads the registry regularly for the others too. */
  readonly isFirstStoreReader: () => boolean;
  /** @returns The other routers of this data centre that read the store for others, the first one first. */
  readonly otherStoreReaders: () => readonly Peer[];
  /** @returns How many routers may be serving, including this one and unreachable ones. */
  readonly countServing: () => number;
  /** Announces to peers that a replica runs new weights. */
  readonly announceWeights: (replica: string, model: string, version: number) => void;
  /**
   * Announces with the next regular messages which weights a replica runs that denied others. No messages are sent for
   * it, since many routers may learn it at the same time.
   */
  readonly announceCheckedWeights: (replica: string, model: string, version: number) => void;
  /**
   * Announces to peers that a replica is to get no new work until a time on the monotonic clock: with the next message,
   * sent after a short delay.
   */
  readonly announceChanging: (replica: string, until: number) => void;
  /**
   * Announces this router's work to peers now instead of at the next tick. Does nothing where there are many routers.
   */
  readonly announceWork: () => void;
  /** Announces to peers that a replica leaves. */
  readonly announceLeaving: (replica: string) => void;
  /** Notifies peers that a replica asked for backoff; does nothing where owners of replicas report it. */
  readonly broadcastBackoff: (replica: ReplicaState) => void;
  /**
   * Announces a replica's reported limit with the next message, sent after a short delay. Does nothing where there are
   * many routers: its owner is queried.
   */
  readonly announceLimit: (replica: ReplicaState) => void;
  /** Announces, with the next message, that a replica computes or caches a prompt part. */
  readonly announceHolder: (key: number, replica: string, isReady: boolean) => void;
  /** Announces that this router takes no duties any more. */
  readonly stepDown: () => void;
  /** Announces that this router shuts down. */
  readonly leave: () => void;
}

/**
 * Timestamps count from a random origin, below this value. Otherwise an echo meant for the previous process at this
 * address could be taken for one of this process, whose clock started again from 0: a proof of the configuration would
 * then seem younger than it is.
 */
const stampOrigins = 2 ** 40;

/** Timestamps are in steps of a millisecond divided by this, so that messages sent in quick succession differ. */
const stampPrecision = 10;

/** @returns The version of the configuration here with the age of its proof; `undefined` if there is none. */
const proofOf = (configuration: ConfigurationState): RouterMessage["configuration"] => {
  const version = configuration.table()?.configuration.version;
  const age = configuration.age();
  return version === undefined || !Number.isFinite(age) ? undefined : { version, age: Math.ceil(age) };
};

/** @returns The fields of a message about quarantined requests and about the store. */
const describeState = ({
  quarantine,
  epochs,
  recovery,
}: RouterPeersDependencies): Pick<
  RouterMessage,
  "quarantineDigest" | "storeEpoch" | "recoveryRemaining"
> => ({
  quarantineDigest: quarantine.digest(),
  storeEpoch: epochs.current(),
  recoveryRemaining: Math.ceil(recovery.remaining()),
});

/** @returns The work of this router's own requests, by replica. */
const ownWorkIn = (replicas: ReplicaTable): readonly AnnouncedWork[] =>
  replicas
    .all()
    .filter(({ requests }) => requests > 0)
    .map(({ entry, requests, promptTokens, organisationTokens, reservedTokens, prefilledTokens }) => ({
      replica: replicaKeyOf(entry.id),
      requests,
      promptTokens: wholeTokens(promptTokens),
      organisations: [...organisationTokens].flatMap(toOrganisationWork),
      reservedTokens: Math.round(reservedTokens),
      prefilledTokens: Math.round(prefilledTokens),
    }));

/** Peers that get their messages at the same time. */
interface PeerGroup {
  readonly audience: Audience;
  sentAt: number;
  /** The work in the last message as JSON, to detect changes. */
  sentWork: string;
}

/** Rendezvous key of the duty of reading the store. */
const readingDuty = "registry";

const audiences: readonly Audience[] = ["near", "far"];

const audienceOf = ({ isNear }: Peer): Audience => (isNear ? "near" : "far");

const createGroup = (audience: Audience): PeerGroup => ({
  audience,
  sentAt: Number.NEGATIVE_INFINITY,
  sentWork: "",
});

/** @returns The longest of the intervals between messages that has passed for a group; `undefined` if none has. */
const dueInterval = (
  { audience, sentAt }: PeerGroup,
  now: number,
  { intervalFactor }: Pick<PeerTable, "intervalFactor">,
): keyof typeof peerMessageIntervals | undefined => {
  const since = (now - sentAt) / intervalFactor(audience === "near");
  if (since >= peerMessageIntervals.longest) return "longest";
  return since >= peerMessageIntervals.shortest ? "shortest" : undefined;
};

const liveNamesOf = (peers: PeerTable): readonly string[] =>
  peers
    .all()
    .filter(peers.isLive)
    .map(({ name }) => name);

/** @returns Names of live peers that take duties, reach replicas and have a fresh configuration. */
const freshNames = (peers: PeerTable, longestAge: number): readonly string[] =>
  peers
    .all()
    .filter((peer) => peers.isLive(peer) && peer.proofAge < longestAge)
    .filter(({ hasSteppedDown, isPartitioned }) => !hasSteppedDown && !isPartitioned)
    .map(({ name }) => name);

const intersect = (names: readonly string[], others: readonly string[]): readonly string[] =>
  names.filter((name) => others.includes(name));

/** A router whose reads of the store are too old is a candidate only where there is no other: it may soon refuse. */
const relayCandidatesOf = (peers: PeerTable): readonly Peer[] => {
  const candidates = peers.all().filter((peer) => peers.isLive(peer) && !peer.isPartitioned);
  const fresh = candidates.filter(({ hasSteppedDown }) => !hasSteppedDown);
  return fresh.length > 0 ? fresh : candidates;
};

/**
 * Where there are many routers, one encoded message serves all peers: encoding one for each of 194 peers took most of
 * the processor time of the router that gives orders in a roll-out. No echo is needed then, since proofs of the
 * configuration are exchanged by separate messages.
 */
const sendMessage = (
  link: DatagramLink,
  audience: readonly Peer[],
  message: Omit<RouterMessage, "echo">,
  isLarge: boolean,
): void => {
  const forAll = isLarge ? encodeRouterMessage({ ...message, echo: undefined }) : undefined;
  for (const { at, lastTimestamp } of audience) {
    link.send(at, forAll ?? encodeRouterMessage({ ...message, echo: lastTimestamp }));
  }
};

/**
 * Announces draining replicas with the next messages, whatever the source: a router that can't read the registry learns
 * of them from its peers. In a new epoch of the store, the registry may have lost their reports.
 *
 * @returns A function that announces all of them again.
 */
const announceDraining = (
  { replicas, epochs }: Pick<RouterPeersDependencies, "replicas" | "epochs">,
  { addLeaving }: Pick<RouterUpdates, "addLeaving">,
): (() => void) => {
  const announceAll = (): void => {
    for (const { entry } of replicas.all()) if (entry.isDraining) addLeaving(entry.id);
  };
  replicas.subscribe(({ id }, departure) => {
    if (departure === "draining") addLeaving(id);
  });
  epochs.subscribe(announceAll);
  return announceAll;
};

/** Starts to exchange messages with the other routers until it is disposed of. */
export const createRouterPeers = (dependencies: RouterPeersDependencies): RouterPeers => {
  const { self, link, clock, replicas, configuration, isPartitioned = () => false } = dependencies;
  const peers = createPeerTable(self, clock);
  const startedAt = clock.monotonic();
  const stampOrigin = Math.floor(Math.random() * stampOrigins);
  const updates = createRouterUpdates(clock);
  const announceAllDraining = announceDraining(dependencies, updates);
  let hasSteppedDown = false;
  let isShuttingDown = false;
  const groups: readonly PeerGroup[] = audiences.map(createGroup);
  const serving = (): readonly Peer[] => peers.all().filter(peers.mayServe);
  let cancelUpdates: (() => void) | undefined;

  /**
   * Whether this router takes duties at the moment; if not, messages say so as `hasSteppedDown`.
   *
   * A router that alone is cut off from the store still gets proofs from its peers. If it stayed the first candidate
   * for the lease of orders, nobody would hold the lease until the proofs of all routers had expired: 4.6 to 5.6 s
   * without orders.
   */
  const takesDuties = (): boolean => !hasSteppedDown && configuration.readAge() < dependencies.maxReadAge();

  const readerNames = (): readonly string[] =>
    peers.dutyHolders(readingDuty, storeReaderCount, !takesDuties());

  const compose = (work: RouterMessage["work"], audience: Audience): Omit<RouterMessage, "echo"> => {
    const { name, incarnation, dataCentre } = self;
    const now = clock.monotonic();
    return {
      ...{ name, incarnation, dataCentre },
      sentAt: stampOrigin + Math.round(now * stampPrecision) / stampPrecision,
      configuration: proofOf(configuration),
      work,
      ...updates.take(audience),
      weightsTargets: configuration.wantedAges(),
      ...describeState(dependencies),
      hasSteppedDown: !takesDuties(),
      isPartitioned: isPartitioned(),
      isShuttingDown,
    };
  };

  /** Where there are many routers, work is reported to the owners of replicas instead, and queried from them. */
  const announcedWork = (): readonly AnnouncedWork[] => (peers.isLarge() ? [] : ownWorkIn(replicas));

  /** A new peer waits for it. Takes the pending updates about prompt parts for near peers: others don't get them. */
  const sendState = (at: DatagramAddress): void => {
    announceAllDraining();
    link.send(at, encodeRouterMessage({ ...compose(announcedWork(), "near"), echo: undefined }));
  };

  const sendTo = (group: PeerGroup): void => {
    const work = announcedWork();
    const message = compose(work, group.audience);
    group.sentWork = JSON.stringify(work);
    group.sentAt = clock.monotonic();
    const audience = serving().filter((peer) => audienceOf(peer) === group.audience);
    sendMessage(link, audience, message, peers.isLarge());
  };

  const sendAll = (): void => {
    cancelUpdates?.();
    cancelUpdates = undefined;
    groups.forEach(sendTo);
  };

  /** Sends updates to all peers after a short delay, so that those that follow closely share the message. */
  const sendSoon = (): void => {
    cancelUpdates ??= clock.after(peers.isLarge() ? largeFleetUpdateDelay : updateDelay, sendAll);
  };

  const hasChanged = ({ audience, sentWork }: PeerGroup): boolean =>
    updates.hasHolders(audience) || JSON.stringify(announcedWork()) !== sentWork;

  const isDue = (group: PeerGroup): boolean => {
    const interval = dueInterval(group, clock.monotonic(), peers);
    return interval === "longest" || (interval === "shortest" && hasChanged(group));
  };

  /** Cached, since every estimate of a cached prompt part uses it. */
  let liveCount = 1;
  const contactLost = createLostPeerContact(peers, clock, sendState);
  const announceSoon = (add: () => void): void => {
    add();
    sendSoon();
  };

  const tick = (): void => {
    cancelTick = clock.after(peers.noteTick(), tick);
    expirePeers(peers, replicas);
    contactLost();
    liveCount = 1 + liveNamesOf(peers).length;
    groups.filter(isDue).forEach(sendTo);
  };

  const recipients = (): readonly Peer[] => (peers.isLarge() ? [] : serving());
  const broadcastBackoff = createBackoffExchange({ ...dependencies, random: Math.random, recipients });

  link.receive((datagram, from) => {
    const message = decodeRouterMessage(datagram);
    const isNew = message !== undefined && peers.isFirstMessage(message);
    const peer = message && peers.observe(message, from);
    if (message === undefined || peer === undefined) return;
    if (isNew) sendState(peer.at);
    const sinceStart = { from: startedAt, until: clock.monotonic() };
    applyPeerMessage(message, peer, echoedSentAt(message, stampOrigin, sinceStart), dependencies);
  });

  let cancelTick = clock.after(0, tick);

  return {
    add: (entries) => {
      entries.forEach(peers.add);
      sendSoon();
    },
    live: () => [self.name, ...liveNamesOf(peers)],
    countLive: () => liveCount,
    serving,
    dutyCandidates: (longestAge) => {
      const isCandidate = configuration.age() < longestAge && takesDuties() && !isPartitioned();
      const names = [...(isCandidate ? [self.name] : []), ...freshNames(peers, longestAge)];
      return peers.isLarge() ? intersect(names, readerNames()) : names;
    },
    relayCandidates: () => relayCandidatesOf(peers),
    isLarge: peers.isLarge,
    isStoreReader: () => peers.isDutyHolder(readingDuty, storeReaderCount, !takesDuties()),
    isFirstStoreReader: () => readerNames()[0] === self.name,
    otherStoreReaders: () =>
      readerNames().flatMap((name) => peers.all().find((peer) => peer.name === name) ?? []),
    countServing: () => 1 + serving().length,
    announceWeights: (id, model, version) => announceSoon(() => updates.addWeights(id, model, version)),
    announceCheckedWeights: updates.addWeights,
    announceChanging: (replica, until) => announceSoon(() => updates.addChanging(replica, until)),
    announceLeaving: (replica) => announceSoon(() => updates.addLeaving(replica)),
    // Where there are many routers, the work of one is too small a part to be announced to the others at once.
    announceWork: () => {
      if (!peers.isLarge()) sendAll();
    },
    broadcastBackoff,
    announceLimit: ({ entry, limit }) => {
      if (limit !== undefined && !peers.isLarge()) announceSoon(() => updates.addLimit(entry.id, limit));
    },
    announceHolder: updates.addHolder,
    stepDown: () => {
      hasSteppedDown = true;
      sendAll();
    },
    leave: () => {
      isShuttingDown = true;
      sendAll();
    },
    [Symbol.asyncDispose]: () => {
      cancelTick();
      cancelUpdates?.();
      return Promise.resolve();
    },
  };
};
