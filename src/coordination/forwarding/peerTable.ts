/** The other routers, as this one knows them from the store and from their messages. */
import type { DatagramAddress } from "../../protocol/forwarding/DatagramLink.ts";
import type { RouterMessage } from "../../protocol/forwarding/peerMessage.ts";
import type { RouterEntry } from "../../protocol/forwarding/types.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import { rendezvousOrder } from "../membership/rendezvous.ts";
import {
  lostPeerMemory,
  minOwnPause,
  messagesPerInterval,
  nearMessageShare,
  peerMessageIntervals,
  peerServingTimeout,
  maxPeersAtShortestInterval,
  routersPerDutyHolder,
  peerTimeout,
} from "./constants.ts";

/** One other router. Times are milliseconds on this process's monotonic clock. */
export interface Peer {
  readonly name: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  /** Whether it is in the data centre of this router. */
  readonly isNear: boolean;
  at: DatagramAddress;
  /** When its last message arrived; negative infinity before the first one. */
  lastMessageAt: number;
  /** It counts as serving from here on without a message: it was added then, or this router resumed from a pause. */
  countedFrom: number;
  /** The newest timestamp of its messages, by its own clock; `undefined` before the first one. */
  lastTimestamp: number | undefined;
  /** Age, when it sent its last message, of the proof that its configuration is current; milliseconds. */
  proofAge: number;
  /** Whether its last log line says that it is live. */
  isLoggedLive: boolean;
  /** Whether its last message says that it takes no duties at the moment. */
  hasSteppedDown: boolean;
  /** Whether its last message says that it has no path to any replica. */
  isPartitioned: boolean;
  /** Whether it has announced that it shuts down. */
  isShuttingDown: boolean;
}

/** The known peers, and which of them are live or have a duty. */
export interface PeerTable {
  /** Whether there are too many peers to send every update to all of them at once. */
  readonly isLarge: () => boolean;
  /**
   * Factor on the intervals between messages. It grows with the number of peers in the same data centre (near), or in
   * others (far), so that the messages per second stay bounded.
   */
  readonly intervalFactor: (isNear: boolean) => number;
  readonly all: () => readonly Peer[];
  /** Adds a router that is registered in the store. */
  readonly add: (entry: RouterEntry) => void;
  /** Whether a message is the first one of its process; to be called before the message is observed. */
  readonly isFirstMessage: (message: Pick<RouterMessage, "name" | "incarnation">) => boolean;
  /**
   * Records a message that has just arrived.
   *
   * @returns Its sender; `undefined` if a newer message of the sender arrived before it, or this router sent it.
   */
  readonly observe: (message: RouterMessage, from: DatagramAddress) => Peer | undefined;
  /** Whether its last message is recent, and did not announce that it shuts down. */
  readonly isLive: (peer: Peer) => boolean;
  /** Whether it may still serve requests, although no message may have arrived recently: it may be cut off. */
  readonly mayServe: (peer: Peer) => boolean;
  /**
   * Whether this router is one of those of its data centre that have a duty, such as reading the store for the others.
   *
   * @param maxHolders - Routers with the duty; fewer in a data centre with few routers.
   * @param hasSteppedDown - Whether this router takes no duties at the moment.
   */
  readonly isDutyHolder: (duty: string, maxHolders: number, hasSteppedDown: boolean) => boolean;
  /** @returns The names of the routers of this data centre that have a duty, in rendezvous order. */
  readonly dutyHolders: (duty: string, maxHolders: number, hasSteppedDown: boolean) => readonly string[];
  /** Counts a peer that may no longer serve as lost; one that shuts down is forgotten. */
  readonly expire: (peer: Peer) => void;
  /** @returns Addresses of the lost peers: they were silent for long, but may only have been cut off. */
  readonly lost: () => readonly DatagramAddress[];
  /**
   * To be called regularly, before peers expire. If the call is late, this router did not run for a while, and the
   * silence of its peers says nothing about them.
   *
   * @returns Milliseconds until the next call.
   */
  readonly noteTick: () => number;
  /** Logs, once, that a peer is not live any more. */
  readonly noteUnreachable: (peer: Peer) => void;
}

const writeLog = createLogger("peers");

/** Creates an empty table for a router. */
export const createPeerTable = (
  { name: self, dataCentre: ownDataCentre }: Pick<RouterEntry, "name" | "dataCentre">,
  clock: Clock,
): PeerTable => {
  const peers = new Map<string, Peer>();
  let nextTickAt = clock.monotonic();
  const lostPeers = new Map<string, { readonly at: DatagramAddress; readonly until: number }>();

  const isLarge = (): boolean => peers.size > maxPeersAtShortestInterval;
  /** Computed when peers are added or removed, since every check of a peer uses them. */
  let intervalFactors = { near: 1, far: 1 };

  const updateIntervalFactors = (): void => {
    const near = [...peers.values()].filter(({ isNear }) => isNear).length;
    const far = peers.size - near;
    const nearShare = far === 0 ? 1 : nearMessageShare;
    const farShare = near === 0 ? 1 : 1 - nearMessageShare;
    const factorOf = (count: number, share: number): number =>
      isLarge() ? Math.max(1, count / (messagesPerInterval * share)) : 1;
    intervalFactors = { near: factorOf(near, nearShare), far: factorOf(far, farShare) };
  };

  const intervalFactor = (isNear: boolean): number => (isNear ? intervalFactors.near : intervalFactors.far);
  const isLive = (peer: Peer): boolean =>
    !peer.isShuttingDown &&
    clock.monotonic() - peer.lastMessageAt < peerTimeout * intervalFactor(peer.isNear);
  /** Longer than the time after which a peer is not live, also where intervals between messages are long. */
  const retentionOf = ({ isNear }: Peer): number =>
    Math.max(peerServingTimeout, 2 * peerTimeout * intervalFactor(isNear));
  const mayServe = (peer: Peer): boolean =>
    !peer.isShuttingDown &&
    clock.monotonic() - Math.max(peer.lastMessageAt, peer.countedFrom) < retentionOf(peer);

  const addPeer = (
    { name, incarnation, dataCentre }: Pick<RouterEntry, "name" | "incarnation" | "dataCentre">,
    at: DatagramAddress,
    lastMessageAt: number,
  ): Peer => {
    const peer = {
      name,
      incarnation,
      dataCentre,
      isNear: dataCentre === ownDataCentre,
      at,
      lastMessageAt,
      countedFrom: clock.monotonic(),
      lastTimestamp: undefined,
      proofAge: Number.POSITIVE_INFINITY,
      isLoggedLive: false,
      hasSteppedDown: false,
      isPartitioned: false,
      isShuttingDown: false,
    };
    peers.set(name, peer);
    lostPeers.delete(name);
    updateIntervalFactors();
    return peer;
  };

  const findOrAdd = (message: RouterMessage, from: DatagramAddress): Peer => {
    const { name, incarnation } = message;
    const known = peers.get(name);
    if (known?.incarnation === incarnation) return known;
    writeLog("met", { peer: name, incarnation });
    return addPeer(message, from, clock.monotonic());
  };

  const dutyHolders = (duty: string, maxHolders: number, hasSteppedDown: boolean): readonly string[] => {
    const near = [...peers.values()].filter((peer) => peer.isNear && isLive(peer) && !peer.hasSteppedDown);
    const names = near.map(({ name }) => name);
    const candidates = hasSteppedDown ? names : [self, ...names];
    return rendezvousOrder(duty, candidates).slice(
      0,
      Math.min(maxHolders, Math.ceil(candidates.length / routersPerDutyHolder)),
    );
  };

  return {
    isLarge,
    intervalFactor,
    all: () => [...peers.values()],
    add: (entry) => {
      const { name, address, port } = entry;
      if (name === self || peers.has(name)) return;
      addPeer(entry, { address, port }, Number.NEGATIVE_INFINITY);
    },
    isFirstMessage: ({ name, incarnation }) => {
      const known = peers.get(name);
      return known?.incarnation !== incarnation || known.lastTimestamp === undefined;
    },
    observe: (message, from) => {
      if (message.name === self) return undefined;
      const peer = findOrAdd(message, from);
      if (peer.lastTimestamp !== undefined && message.sentAt <= peer.lastTimestamp) return undefined;
      if (!peer.isLoggedLive) writeLog("heard", { peer: peer.name });
      peer.isLoggedLive = true;
      peer.lastTimestamp = message.sentAt;
      peer.at = from;
      peer.lastMessageAt = clock.monotonic();
      peer.proofAge = message.configuration?.age ?? Number.POSITIVE_INFINITY;
      peer.hasSteppedDown = message.hasSteppedDown;
      peer.isPartitioned = message.isPartitioned;
      peer.isShuttingDown = message.isShuttingDown;
      return peer;
    },
    isLive,
    mayServe,
    isDutyHolder: (duty, maxHolders, hasSteppedDown) =>
      !hasSteppedDown && dutyHolders(duty, maxHolders, false).includes(self),
    dutyHolders,
    expire: ({ name, at, isShuttingDown }) => {
      peers.delete(name);
      updateIntervalFactors();
      if (isShuttingDown) return;
      lostPeers.set(name, { at, until: clock.monotonic() + lostPeerMemory });
      writeLog("lost", { peer: name });
    },
    lost: () => {
      const now = clock.monotonic();
      for (const [name, { until }] of lostPeers) if (until < now) lostPeers.delete(name);
      return [...lostPeers.values()].map(({ at }) => at);
    },
    noteTick: () => {
      const now = clock.monotonic();
      if (now > nextTickAt + minOwnPause) for (const peer of peers.values()) peer.countedFrom = now;
      const interval = peerMessageIntervals.shortest * Math.min(intervalFactors.near, intervalFactors.far);
      nextTickAt = now + interval;
      return interval;
    },
    noteUnreachable: (peer) => {
      if (!peer.isLoggedLive) return;
      peer.isLoggedLive = false;
      writeLog("silent", { peer: peer.name, ends: peer.isShuttingDown });
    },
  };
};
