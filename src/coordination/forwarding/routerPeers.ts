/**
 * What the routers of a system tell one another, in datagrams: the work that each has at replicas, news of
 * weights and departures, and how fresh their configuration is.
 *
 * A router finds the others in the platform's store when it starts; they learn of it from its first message.
 */
import type { DatagramLink } from "../../protocol/forwarding/DatagramLink.ts";
import type { RouterMessage, AnnouncedWork } from "../../protocol/forwarding/peerMessage.ts";
import {
  decodeRouterMessage,
  encodeRouterMessage,
  replicaKeyOf,
} from "../../protocol/forwarding/peerMessage.ts";
import type { RouterEntry } from "../../protocol/forwarding/types.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import { wholeTokens } from "../../state/forwarding/replicaState.ts";
import type { ConfigurationState } from "./configurationState.ts";
import { createBackoffExchange } from "../replicaReports/backoffExchange.ts";
import { storeReaderCount } from "../storeReading/constants.ts";
import { updateDelay, largeFleetUpdateDelay, peerMessageIntervals } from "./constants.ts";
import type { Peer, PeerTable } from "./peerTable.ts";
import { createPeerTable } from "./peerTable.ts";
import type { Audience } from "./routerUpdates.ts";
import { createRouterUpdates } from "./routerUpdates.ts";
import type { PeerMessageDependencies } from "./applyPeerMessage.ts";
import { echoedSentAt, expirePeers, applyPeerMessage } from "./applyPeerMessage.ts";

/** What exchanging works with. */
export interface RouterPeersDependencies extends PeerMessageDependencies {
  readonly self: RouterEntry;
  readonly link: DatagramLink;
  /** A router whose last own read of the store is older takes no duties that need the store, milliseconds. */
  readonly maxReadAge: () => number;
}

/** See {@link createRouterPeers}. */
export interface RouterPeers extends AsyncDisposable {
  /** Takes routers that the store knows. */
  readonly add: (entries: readonly RouterEntry[]) => void;
  /** @returns Names of routers that have been heard of just now, this one included. */
  readonly live: () => readonly string[];
  /** @returns How many routers were live at the last turn of messages, this one included. */
  readonly countLive: () => number;
  /** @returns The other routers that may be serving, silent ones included. */
  readonly serving: () => readonly Peer[];
  /**
   * @returns Names of live routers that take duties and whose configuration was confirmed just now; where there
   * are many routers, those of this data centre that read the store for others: the others don't know whether they
   * reach it, and those of other data centres are heard of too late.
   */
  readonly dutyCandidates: (longestAge: number) => readonly string[];
  /** Whether there are so many routers that each has its part of common duties. */
  readonly isLarge: () => boolean;
  /** Whether this router reads the store for others of its data centre. */
  readonly isStoreReader: () => boolean;
  /** @returns The other routers of this data centre that read the store for others. */
  readonly otherStoreReaders: () => readonly Peer[];
  /** @returns How many routers may be serving, silent ones included. */
  readonly countServing: () => number;
  /** Tells peers that a replica runs new weights. */
  readonly announceWeights: (replica: string, model: string, version: number) => void;
  /** Tells peers at once to give a replica no new work until a moment on the monotonic clock. */
  readonly announceChanging: (replica: string, until: number) => void;
  /** Tells peers of this router's work now instead of at the next turn. */
  readonly announceWork: () => void;
  /** Tells peers that a replica leaves. */
  readonly announceLeaving: (replica: string) => void;
  /** Notifies peers that a replica asked for backoff; does nothing where owners of replicas answer for it. */
  readonly broadcastBackoff: (replica: ReplicaState) => void;
  /** Tells peers at once that a replica names a limit; where there are many, its owner tells those that ask. */
  readonly announceLimit: (replica: ReplicaState) => void;
  /** Tells peers, with the next message, that a replica computes or keeps a prompt part. */
  readonly announceHolder: (key: number, replica: string, isReady: boolean) => void;
  /** Tells peers that this router takes no duties any more. */
  readonly stepDown: () => void;
  /** Tells peers that this router ends. */
  readonly leave: () => void;
}

/**
 * Time stamps count from a random origin, so that an echo of the process that had this address before is not taken
 * for one of this process, whose clock began anew: it would make a proof of the configuration younger than it is.
 */
const stampOrigins = 2 ** 40;

/** Digits of a millisecond that time stamps keep: messages that follow each other at once are told apart. */
const stampPrecision = 10;

/** The version in force here with the age of its proof; nothing if there is none. */
const proofOf = (configuration: ConfigurationState): RouterMessage["configuration"] => {
  const version = configuration.table()?.configuration.version;
  const age = configuration.age();
  return version === undefined || !Number.isFinite(age) ? undefined : { version, age: Math.ceil(age) };
};

/** What a message says of requests that are quarantined and of the store. */
const describeState = ({
  quarantine,
  epochs,
  recovery,
}: RouterPeersDependencies): Pick<RouterMessage, "held" | "storeEpoch" | "recovering"> => ({
  held: quarantine.digest(),
  storeEpoch: epochs.current(),
  recovering: Math.ceil(recovery.remaining()),
});

/** The work of this router's own requests. */
const ownWorkIn = (replicas: ReplicaTable): readonly AnnouncedWork[] =>
  replicas
    .all()
    .filter(({ requests }) => requests > 0)
    .map(({ entry, requests, promptTokens }) => ({
      replica: replicaKeyOf(entry.id),
      requests,
      promptTokens: wholeTokens(promptTokens),
    }));

/** Peers that are told at the same times. */
interface PeerGroup {
  readonly audience: Audience;
  sentAt: number;
  /** The work that its last message told of, to see whether there is something new. */
  sentWork: string;
}

/** Names the duty in the order of those who do it. */
const readingDuty = "registry";

const audiences: readonly Audience[] = ["near", "far"];

const audienceOf = ({ isNear }: Peer): Audience => (isNear ? "near" : "far");

const createGroup = (audience: Audience): PeerGroup => ({
  audience,
  sentAt: Number.NEGATIVE_INFINITY,
  sentWork: "",
});

const liveNames = (peers: PeerTable): readonly string[] =>
  peers
    .all()
    .filter(peers.isLive)
    .map(({ name }) => name);

/** @returns Names of peers that take duties and whose configuration was confirmed just now. */
const freshNames = (peers: PeerTable, longestAge: number): readonly string[] =>
  peers
    .all()
    .filter((peer) => peers.isLive(peer) && peer.proofAge < longestAge && !peer.hasSteppedDown)
    .map(({ name }) => name);

/**
 * Writing a message for each of 194 peers took the giver of orders most of its processor in a roll-out; where there
 * are many, proofs of the configuration are asked for by themselves and need no echo, and one writing serves all.
 */
const sendMessage = (
  link: DatagramLink,
  audience: readonly Peer[],
  message: Omit<RouterMessage, "echo">,
  isLarge: boolean,
): void => {
  const forAll = isLarge ? encodeRouterMessage({ ...message, echo: undefined }) : undefined;
  for (const { at, lastTimestamp: theirTime } of audience) {
    link.send(at, forAll ?? encodeRouterMessage({ ...message, echo: theirTime }));
  }
};

/** Starts to exchange messages. */
export const createRouterPeers = (parts: RouterPeersDependencies): RouterPeers => {
  const { self, link, clock, replicas, configuration } = parts;
  const peers = createPeerTable(self, clock);
  const startedAt = clock.monotonic();
  const stampOrigin = Math.floor(Math.random() * stampOrigins);
  const news = createRouterUpdates(clock);
  let standsDown = false;
  let ends = false;
  const groups: readonly PeerGroup[] = audiences.map(createGroup);
  let callOffNews: (() => void) | undefined;

  /**
   * A router that is cut off from the store alone has proofs from its peers; if it stayed the first candidate for the
   * lease of orders, nobody would hold it until the proofs of all had aged: 4.6 to 5.6 s without orders on recorded days.
   */
  const takesDuties = (): boolean => !standsDown && configuration.readAge() < parts.maxReadAge();

  const readerNames = (): readonly string[] =>
    peers.dutyHolders(readingDuty, storeReaderCount, !takesDuties());

  const compose = (work: RouterMessage["work"], audience: Audience): Omit<RouterMessage, "echo"> => {
    const now = clock.monotonic();
    return {
      name: self.name,
      incarnation: self.incarnation,
      dataCentre: self.dataCentre,
      sentAt: stampOrigin + Math.round(now * stampPrecision) / stampPrecision,
      configuration: proofOf(configuration),
      work,
      ...news.take(audience),
      weightsTargets: configuration.wantedAges(),
      ...describeState(parts),
      hasSteppedDown: !takesDuties(),
      isShuttingDown: ends,
    };
  };

  /** Where there are many routers the owners of replicas are told instead, and asked. */
  const toldWork = (): readonly AnnouncedWork[] => (peers.isLarge() ? [] : ownWorkIn(replicas));

  const sendTo = (group: PeerGroup): void => {
    const work = toldWork();
    const message = compose(work, group.audience);
    group.sentWork = JSON.stringify(work);
    group.sentAt = clock.monotonic();
    const audience = peers.all().filter((peer) => audienceOf(peer) === group.audience);
    sendMessage(link, audience.filter(peers.mayServe), message, peers.isLarge());
  };

  const sendAll = (): void => {
    callOffNews?.();
    callOffNews = undefined;
    groups.forEach(sendTo);
  };

  /** Tells news to everybody, together with what else there is to tell in a moment. */
  const sendSoon = (): void => {
    callOffNews ??= clock.after(peers.isLarge() ? largeFleetUpdateDelay : updateDelay, sendAll);
  };

  const isDue = (group: PeerGroup): boolean => {
    const since = clock.monotonic() - group.sentAt;
    const stretch = peers.intervalFactor(group.audience === "near");
    if (since < peerMessageIntervals.shortest * stretch) return false;
    if (since >= peerMessageIntervals.longest * stretch) return true;
    return news.hasHolders(group.audience) || JSON.stringify(toldWork()) !== group.sentWork;
  };

  const heardNames = (): readonly string[] => liveNames(peers);

  /** Every belief about a part asks for it. */
  let liveCount = 1;

  const turn = (): void => {
    expirePeers(peers, replicas);
    liveCount = 1 + heardNames().length;
    groups.filter(isDue).forEach(sendTo);
    const stretch = Math.min(...audiences.map((audience) => peers.intervalFactor(audience === "near")));
    callOffTurn = clock.after(peerMessageIntervals.shortest * stretch, turn);
  };

  const tellSoon = (add: () => void): void => {
    add();
    sendSoon();
  };

  /** Where there are many routers each has too small a part of the work for others to hear of it at once. */
  const tellWork = (): void => {
    if (!peers.isLarge()) sendAll();
  };

  const audience = (): readonly Peer[] => (peers.isLarge() ? [] : peers.all().filter(peers.mayServe));
  const broadcastBackoff = createBackoffExchange({ ...parts, recipients: audience });

  /** A router that starts waits for what its peers know. */
  const greet = ({ at }: Peer): void => {
    const message = compose(toldWork(), "near");
    link.send(at, encodeRouterMessage({ ...message, echo: undefined }));
  };

  link.receive((datagram, from) => {
    const message = decodeRouterMessage(datagram);
    const isNew = message !== undefined && peers.isFirstMessage(message);
    const peer = message && peers.observe(message, from);
    if (message === undefined || peer === undefined) return;
    if (isNew) greet(peer);
    const sinceStart = { from: startedAt, until: clock.monotonic() };
    applyPeerMessage(message, peer, echoedSentAt(message, stampOrigin, sinceStart), parts);
  });

  let callOffTurn = clock.after(0, turn);

  return {
    add: (entries) => {
      entries.forEach(peers.add);
      sendSoon();
    },
    live: () => [self.name, ...heardNames()],
    countLive: () => liveCount,
    serving: () => peers.all().filter(peers.mayServe),
    dutyCandidates: (longestAge) => {
      const own = configuration.age() < longestAge && takesDuties() ? [self.name] : [];
      const names = [...own, ...freshNames(peers, longestAge)];
      const readers = peers.isLarge() ? readerNames() : names;
      return names.filter((name) => readers.includes(name));
    },
    isLarge: peers.isLarge,
    isStoreReader: () => peers.isDutyHolder(readingDuty, storeReaderCount, !takesDuties()),
    otherStoreReaders: () => {
      const names = new Set(readerNames());
      return peers.all().filter(({ name }) => names.has(name));
    },
    countServing: () => 1 + peers.all().filter(peers.mayServe).length,
    announceWeights: (replica, model, version) => tellSoon(() => news.addWeights(replica, model, version)),
    announceChanging: (replica, until) => tellSoon(() => news.addChanging(replica, until)),
    announceLeaving: (replica) => tellSoon(() => news.addLeaving(replica)),
    announceWork: tellWork,
    broadcastBackoff,
    announceLimit: ({ entry, limit }) => {
      if (limit !== undefined && !peers.isLarge()) tellSoon(() => news.addLimit(entry.id, limit));
    },
    announceHolder: news.addHolder,
    stepDown: () => {
      standsDown = true;
      sendAll();
    },
    leave: () => {
      ends = true;
      sendAll();
    },
    [Symbol.asyncDispose]: () => {
      callOffTurn();
      callOffNews?.();
      return Promise.resolve();
    },
  };
};
