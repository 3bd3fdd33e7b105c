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
  peerMemory,
  peersAtShortestInterval,
  routersPerHolder,
  peerSilence,
} from "./constants.ts";

/** One other router. Times are milliseconds on this process's monotonic clock. */
export interface Peer {
  readonly name: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  /** It is in the same data centre. */
  readonly isNear: boolean;
  at: DatagramAddress;
  heardAt: number;
  /** When this router learned of it. */
  readonly addedAt: number;
  /** The newest time stamp of its messages, on its own clock. */
  theirTime: number | undefined;
  /** How old its proof of its configuration was when it sent its last message, milliseconds. */
  proofAge: number;
  /** Whether the log says that it is heard. */
  isKnownLive: boolean;
  /** It takes no duties any more. */
  standsDown: boolean;
  /** It has said that it ends. */
  ends: boolean;
}

/** See {@link createPeerTable}. */
export interface PeerTable {
  /** Whether there are too many for all of them to hear of everything at once. */
  readonly isLarge: () => boolean;
  /** By how much intervals grow with the number of near or far peers, so that messages a second stay bounded. */
  readonly stretch: (isNear: boolean) => number;
  readonly all: () => readonly Peer[];
  /** Takes a router that the store knows. */
  readonly add: (entry: RouterEntry) => void;
  /** Whether a message is the first one of a process. */
  readonly isNew: (message: Pick<RouterMessage, "name" | "incarnation">) => boolean;
  /** @returns The sender of a message that came just now; nothing if a newer message came before it. */
  readonly hear: (message: RouterMessage, from: DatagramAddress) => Peer | undefined;
  /** Whether a message of it came just now. */
  readonly isHeard: (peer: Peer) => boolean;
  /** Whether it may be serving although it may be silent. */
  readonly mayServe: (peer: Peer) => boolean;
  /**
   * Whether this router is one of those of this data centre that do a duty: some at most, fewer where there are few.
   *
   * @param standsDown - This router takes no duties any more.
   */
  readonly isAmong: (duty: string, most: number, standsDown: boolean) => boolean;
  /** @returns The names of those of this data centre that do a duty, the first one first. */
  readonly dutyHolders: (duty: string, most: number, standsDown: boolean) => readonly string[];
  readonly forget: (peer: Peer) => void;
  /** Writes to the log that a peer is not heard any more. */
  readonly noteSilence: (peer: Peer) => void;
}

const writeLog = createLogger("peers");

/** Creates a table without peers, for a router. */
export const createPeerTable = (
  { name: self, dataCentre: here }: Pick<RouterEntry, "name" | "dataCentre">,
  clock: Clock,
): PeerTable => {
  const peers = new Map<string, Peer>();

  const isLarge = (): boolean => peers.size > peersAtShortestInterval;
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
    !peer.ends && clock.monotonic() - peer.heardAt < peerSilence * stretch(peer.isNear);
  /** Longer than the silence after which it is not heard, also where messages come rarely. */
  const memoryOf = ({ isNear }: Peer): number => Math.max(peerMemory, 2 * peerSilence * stretch(isNear));
  const mayServe = (peer: Peer): boolean =>
    !peer.ends && clock.monotonic() - Math.max(peer.heardAt, peer.addedAt) < memoryOf(peer);

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
    const near = [...peers.values()].filter((peer) => peer.isNear && isHeard(peer) && !peer.standsDown);
    const names = near.map(({ name }) => name);
    const able = standsDown ? names : [self, ...names];
    return rendezvousOrder(duty, able).slice(0, Math.min(most, Math.ceil(able.length / routersPerHolder)));
  };

  return {
    isLarge,
    stretch,
    all: () => [...peers.values()],
    add: (entry) => {
      const { name, address, port } = entry;
      if (name === self || peers.has(name)) return;
      make(entry, { address, port }, Number.NEGATIVE_INFINITY);
    },
    isNew: ({ name, incarnation }) => {
      const known = peers.get(name);
      return known?.incarnation !== incarnation || known.theirTime === undefined;
    },
    hear: (message, from) => {
      if (message.name === self) return undefined;
      const peer = meet(message, from);
      if (peer.theirTime !== undefined && message.sentAt <= peer.theirTime) return undefined;
      if (!peer.isKnownLive) writeLog("heard", { peer: peer.name });
      peer.isKnownLive = true;
      peer.theirTime = message.sentAt;
      peer.at = from;
      peer.heardAt = clock.monotonic();
      peer.proofAge = message.configuration?.age ?? Number.POSITIVE_INFINITY;
      peer.standsDown = message.hasSteppedDown;
      peer.ends = message.isShuttingDown;
      return peer;
    },
    isHeard,
    mayServe,
    isAmong: (duty, most, standsDown) => !standsDown && dutyHolders(duty, most, false).includes(self),
    dutyHolders,
    forget: ({ name }) => {
      peers.delete(name);
      countStretches();
    },
    noteSilence: (peer) => {
      if (!peer.isKnownLive) return;
      peer.isKnownLive = false;
      writeLog("silent", { peer: peer.name, ends: peer.ends });
    },
  };
};
