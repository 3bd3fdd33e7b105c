/** The other routers as this one knows them. */
import type { DatagramAddress } from "../../protocol/forwarding/DatagramLink.ts";
import type { RouterMessage } from "../../protocol/forwarding/peerMessage.ts";
import type { RouterEntry } from "../../protocol/forwarding/types.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import { rendezvousOrder } from "../membership/rendezvous.ts";
import {
  messagesPerInterval,
  nearMessageShare,
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
  /** It is in the same data centre. */
  readonly isNear: boolean;
  at: DatagramAddress;
  lastMessageAt: number;
  /** When this router learned of it. */
  readonly addedAt: number;
  /** The newest time stamp of its messages, on its own clock. */
  lastTimestamp: number | undefined;
  /** How old its proof of its configuration was when it sent its last message, milliseconds. */
  proofAge: number;
  /** Whether the log says that it is heard. */
  isLoggedLive: boolean;
  /** It takes no duties any more. */
  hasSteppedDown: boolean;
  /** It has said that it ends. */
  isShuttingDown: boolean;
}

/** See {@link createPeerTable}. */
export interface PeerTable {
  /** Whether there are too many for all of them to hear of everything at once. */
  readonly isLarge: () => boolean;
  /** By how much intervals grow with the number of near or far peers, so that messages a second stay bounded. */
  readonly intervalFactor: (isNear: boolean) => number;
  readonly all: () => readonly Peer[];
  /** Takes a router that the store knows. */
  readonly add: (entry: RouterEntry) => void;
  /** Whether a message is the first one of a process. */
  readonly isFirstMessage: (message: Pick<RouterMessage, "name" | "incarnation">) => boolean;
  /** @returns The sender of a message that came just now; nothing if a newer message came before it. */
  readonly observe: (message: RouterMessage, from: DatagramAddress) => Peer | undefined;
  /** Whether a message of it came just now. */
  readonly isLive: (peer: Peer) => boolean;
  /** Whether it may be serving although it may be silent. */
  readonly mayServe: (peer: Peer) => boolean;
  /**
   * Whether this router is one of those of this data centre that do a duty: some at most, fewer where there are few.
   *
   * @param standsDown - This router takes no duties any more.
   */
  readonly isDutyHolder: (duty: string, most: number, standsDown: boolean) => boolean;
  /** @returns The names of those of this data centre that do a duty, the first one first. */
  readonly dutyHolders: (duty: string, most: number, standsDown: boolean) => readonly string[];
  readonly remove: (peer: Peer) => void;
  /** Writes to the log that a peer is not heard any more. */
  readonly noteUnreachable: (peer: Peer) => void;
}

const writeLog = createLogger("peers");

/** Creates a table without peers, for a router. */
export const createPeerTable = (
  { name: self, dataCentre: here }: Pick<RouterEntry, "name" | "dataCentre">,
  clock: Clock,
): PeerTable => {
  const peers = new Map<string, Peer>();

  const isLarge = (): boolean => peers.size > maxPeersAtShortestInterval;
  /** Computed where peers come and go, since every look at a peer asks for them. */
  let stretches = { near: 1, far: 1 };

  const countStretches = (): void => {
    const near = [...peers.values()].filter(({ isNear }) => isNear).length;
    const far = peers.size - near;
    const nearShare = far === 0 ? 1 : nearMessageShare;
    const farShare = near === 0 ? 1 : 1 - nearMessageShare;
    const stretchOf = (count: number, share: number): number =>
      isLarge() ? Math.max(1, count / (messagesPerInterval * share)) : 1;
    stretches = { near: stretchOf(near, nearShare), far: stretchOf(far, farShare) };
  };

  const stretch = (isNear: boolean): number => (isNear ? stretches.near : stretches.far);
  const isHeard = (peer: Peer): boolean =>
    !peer.isShuttingDown && clock.monotonic() - peer.lastMessageAt < peerTimeout * stretch(peer.isNear);
  /** Longer than the silence after which it is not heard, also where messages come rarely. */
  const memoryOf = ({ isNear }: Peer): number =>
    Math.max(peerServingTimeout, 2 * peerTimeout * stretch(isNear));
  const mayServe = (peer: Peer): boolean =>
    !peer.isShuttingDown && clock.monotonic() - Math.max(peer.lastMessageAt, peer.addedAt) < memoryOf(peer);

  const make = (
    { name, incarnation, dataCentre }: Pick<RouterEntry, "name" | "incarnation" | "dataCentre">,
    at: DatagramAddress,
    heardAt: number,
  ): Peer => {
    const peer = {
      name,
      incarnation,
      dataCentre,
      isNear: dataCentre === here,
      at,
      heardAt,
      addedAt: clock.monotonic(),
      theirTime: undefined,
      proofAge: Number.POSITIVE_INFINITY,
      isKnownLive: false,
      standsDown: false,
      ends: false,
    };
    peers.set(name, peer);
    countStretches();
    return peer;
  };

  const meet = (message: RouterMessage, from: DatagramAddress): Peer => {
    const { name, incarnation } = message;
    const known = peers.get(name);
    if (known?.incarnation === incarnation) return known;
    writeLog("met", { peer: name, incarnation });
    return make(message, from, clock.monotonic());
  };

  const dutyHolders = (duty: string, most: number, standsDown: boolean): readonly string[] => {
    const near = [...peers.values()].filter((peer) => peer.isNear && isHeard(peer) && !peer.hasSteppedDown);
    const names = near.map(({ name }) => name);
    const able = standsDown ? names : [self, ...names];
    return rendezvousOrder(duty, able).slice(
      0,
      Math.min(most, Math.ceil(able.length / routersPerDutyHolder)),
    );
  };

  return {
    isLarge,
    intervalFactor: stretch,
    all: () => [...peers.values()],
    add: (entry) => {
      const { name, address, port } = entry;
      if (name === self || peers.has(name)) return;
      make(entry, { address, port }, Number.NEGATIVE_INFINITY);
    },
    isFirstMessage: ({ name, incarnation }) => {
      const known = peers.get(name);
      return known?.incarnation !== incarnation || known.lastTimestamp === undefined;
    },
    observe: (message, from) => {
      if (message.name === self) return undefined;
      const peer = meet(message, from);
      if (peer.lastTimestamp !== undefined && message.sentAt <= peer.lastTimestamp) return undefined;
      if (!peer.isLoggedLive) writeLog("heard", { peer: peer.name });
      peer.isLoggedLive = true;
      peer.lastTimestamp = message.sentAt;
      peer.at = from;
      peer.lastMessageAt = clock.monotonic();
      peer.proofAge = message.configuration?.age ?? Number.POSITIVE_INFINITY;
      peer.hasSteppedDown = message.hasSteppedDown;
      peer.isShuttingDown = message.isShuttingDown;
      return peer;
    },
    isLive: isHeard,
    mayServe,
    isDutyHolder: (duty, most, standsDown) => !standsDown && dutyHolders(duty, most, false).includes(self),
    dutyHolders,
    remove: ({ name }) => {
      peers.delete(name);
      countStretches();
    },
    noteUnreachable: (peer) => {
      if (!peer.isLoggedLive) return;
      peer.isLoggedLive = false;
      writeLog("silent", { peer: peer.name, ends: peer.isShuttingDown });
    },
  };
};
