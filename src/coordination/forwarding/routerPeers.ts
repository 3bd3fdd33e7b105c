/**
 * What the routers of a system tell one another, in datagrams: the work that each has at replicas, news of
 * weights and departures, and how fresh their configuration is.
 *
 * A router finds the others in the platform's store when it starts; they learn of it from its first message.
 */
import type { DatagramLink } from "../../protocol/forwarding/DatagramLink.ts";
import type { RouterMessage } from "../../protocol/forwarding/peerMessage.ts";
import { decodeRouterMessage, encodeRouterMessage } from "../../protocol/forwarding/peerMessage.ts";
import type { RouterEntry } from "../../protocol/forwarding/types.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { Clock } from "../clock.ts";
import type { CacheHolders } from "./cacheHolders.ts";
import type { ConfigurationState } from "./configurationState.ts";
import { peerIntervals } from "./constants.ts";
import type { Peer, PeerTable } from "./peerTable.ts";
import { createPeerTable } from "./peerTable.ts";
import { createRouterNews } from "./routerNews.ts";

/** What exchanging works with. */
export interface RouterPeersParts {
  readonly self: RouterEntry;
  readonly link: DatagramLink;
  readonly clock: Clock;
  readonly replicas: ReplicaTable;
  readonly configuration: ConfigurationState;
  readonly holders: Pick<CacheHolders, "noteKey">;
  /** A peer knows a newer configuration. */
  readonly onNewerConfiguration: () => void;
}

/** See {@link createRouterPeers}. */
export interface RouterPeers extends AsyncDisposable {
  /** Takes routers that the store knows. */
  readonly add: (entries: readonly RouterEntry[]) => void;
  /** @returns Names of routers that have been heard of just now, this one included. */
  readonly live: () => readonly string[];
  /** @returns Names of live routers that take duties and whose configuration was confirmed just now. */
  readonly inTouch: (longestAge: number) => readonly string[];
  /** @returns How many routers may be serving, silent ones included. */
  readonly countServing: () => number;
  /** Tells peers that a replica runs new weights. */
  readonly tellWeights: (replica: string, model: string, version: number) => void;
  /** Tells peers at once to give a replica no new work until a moment on the monotonic clock. */
  readonly tellChanging: (replica: string, until: number) => void;
  /** Tells peers of this router's work now instead of at the next turn. */
  readonly tellWork: () => void;
  /** Tells peers that a replica leaves. */
  readonly tellLeaving: (replica: string) => void;
  /** Tells peers that a replica keeps a prompt part. */
  readonly tellHolder: (key: number, replica: string) => void;
  /** Tells peers that this router takes no duties any more. */
  readonly standDown: () => void;
  /** Tells peers that this router ends. */
  readonly leave: () => void;
}

/** Digits of a millisecond that time stamps keep: messages that follow each other at once are told apart. */
const stampPrecision = 10;

/** The version in force here with the age of its proof; nothing if there is none. */
const proofOf = (configuration: ConfigurationState): RouterMessage["configuration"] => {
  const version = configuration.table()?.configuration.version;
  const age = configuration.age();
  return version === undefined || !Number.isFinite(age) ? undefined : [version, Math.ceil(age)];
};

/** @returns Whole tokens, without the priorities at the end that have none. */
const withoutEnd = (tokens: readonly number[]): number[] =>
  tokens.slice(0, tokens.findLastIndex((count) => count > 0) + 1).map(Math.round);

const dropWork = (replicas: ReplicaTable, peer: string): void => {
  for (const replica of replicas.all()) replica.peers.delete(peer);
};

/** What a message tells replaces all that the last one told. */
const takeWork = (replicas: ReplicaTable, peer: string, work: RouterMessage["work"]): void => {
  dropWork(replicas, peer);
  for (const [id, requests, promptTokens] of work) {
    replicas.get(id)?.peers.set(peer, { requests, promptTokens });
  }
};

/** Forgets what routers that are silent had told of their work, and in time the routers. */
const forgetSilent = (peers: PeerTable, replicas: ReplicaTable): void => {
  for (const peer of peers.all()) {
    if (!peers.isHeard(peer)) {
      peers.noteSilence(peer);
      dropWork(replicas, peer.name);
    }
    if (!peers.mayServe(peer)) peers.forget(peer);
  }
};

/** Starts to exchange messages. */
export const createRouterPeers = (parts: RouterPeersParts): RouterPeers => {
  const { self, link, clock, replicas, configuration } = parts;
  const peers = createPeerTable(self.name, clock);
  const startedAt = clock.monotonic();
  const news = createRouterNews(clock);
  let standsDown = false;
  let ends = false;
  let sentWork = "";
  let sentAt = Number.NEGATIVE_INFINITY;
  let isUrgent = false;

  const ownWork = (): RouterMessage["work"] =>
    replicas
      .all()
      .filter(({ requests }) => requests > 0)
      .map(({ entry, requests, promptTokens }) => [entry.id, requests, withoutEnd(promptTokens)]);

  const compose = (work: RouterMessage["work"]): Omit<RouterMessage, "echo"> => {
    const now = clock.monotonic();
    return {
      name: self.name,
      incarnation: self.incarnation,
      sentAt: Math.round(now * stampPrecision) / stampPrecision,
      configuration: proofOf(configuration),
      work,
      ...news.take(),
      wanted: configuration.wantedAges(),
      standsDown,
      ends,
    };
  };

  const sendAll = (): void => {
    const work = ownWork();
    const message = compose(work);
    sentWork = JSON.stringify(work);
    sentAt = clock.monotonic();
    isUrgent = false;
    for (const peer of peers.all()) {
      if (peers.mayServe(peer)) link.send(peer.at, encodeRouterMessage({ ...message, echo: peer.theirTime }));
    }
  };

  const turn = (): void => {
    forgetSilent(peers, replicas);
    const since = clock.monotonic() - sentAt;
    const stretch = peers.stretch();
    const isDue = since >= peerIntervals.longest * stretch;
    const mayBeSent = since >= peerIntervals.shortest * stretch;
    const hasNews = news.hasHolders() || JSON.stringify(ownWork()) !== sentWork;
    if (isUrgent || isDue || (mayBeSent && hasNews)) sendAll();
    callOffTurn = clock.after(peerIntervals.shortest, turn);
  };

  const takeNews = (message: RouterMessage): void => {
    const now = clock.monotonic();
    for (const [id, model, version] of message.weights) replicas.noteWeights(id, model, version);
    for (const [id, remaining] of message.changing) {
      const replica = replicas.get(id);
      if (replica !== undefined) replica.changingUntil = now + remaining;
    }
    for (const [key, id] of message.holders) parts.holders.noteKey(key, id);
    for (const [model, version, age] of message.wanted) configuration.noteWantedAge(model, version, age);
    for (const id of message.leaving) replicas.markLeaving(id);
  };

  const takeConfiguration = (message: RouterMessage): void => {
    if (message.configuration === undefined) return;
    const [version, age] = message.configuration;
    const known = configuration.table()?.configuration.version ?? -1;
    if (version > known) parts.onNewerConfiguration();
    // The peer's proof is as old as it says, counted from no earlier than when it got the message it echoes.
    if (message.echo !== undefined && message.echo >= startedAt) {
      configuration.confirmVersion(version, message.echo - age);
    }
  };

  link.receive((datagram, from) => {
    const message = decodeRouterMessage(datagram);
    const peer = message && peers.hear(message, from);
    if (message === undefined || peer === undefined) return;
    takeWork(replicas, peer.name, peer.ends ? [] : message.work);
    takeNews(message);
    takeConfiguration(message);
  });

  let callOffTurn = clock.after(0, turn);

  return {
    add: (entries) => {
      entries.forEach(peers.add);
      isUrgent = true;
    },
    live: () => [
      self.name,
      ...peers
        .all()
        .filter(peers.isHeard)
        .map(({ name }) => name),
    ],
    inTouch: (longestAge) => {
      const isFresh = (peer: Peer): boolean => peers.isHeard(peer) && peer.proofAge < longestAge;
      const fresh = peers.all().filter((peer) => isFresh(peer) && !peer.standsDown);
      const own = configuration.age() < longestAge && !standsDown ? [self.name] : [];
      return [...own, ...fresh.map(({ name }) => name)];
    },
    countServing: () => 1 + peers.all().filter(peers.mayServe).length,
    tellWeights: (replica, model, version) => {
      news.addWeights(replica, model, version);
      isUrgent = true;
    },
    tellChanging: (replica, until) => {
      news.addChanging(replica, until);
      sendAll();
    },
    tellLeaving: (replica) => {
      news.addLeaving(replica);
      isUrgent = true;
    },
    tellWork: sendAll,
    tellHolder: news.addHolder,
    standDown: () => {
      standsDown = true;
      sendAll();
    },
    leave: () => {
      ends = true;
      sendAll();
    },
    [Symbol.asyncDispose]: () => {
      callOffTurn();
      return Promise.resolve();
    },
  };
};
