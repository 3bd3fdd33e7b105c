/** The other routers as this one knows them. */
import type { DatagramAddress } from "../../protocol/forwarding/DatagramLink.ts";
import type { RouterMessage } from "../../protocol/forwarding/peerMessage.ts";
import type { RouterEntry } from "../../protocol/forwarding/types.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import { peerMemory, peersAtShortestInterval, peerSilence } from "./constants.ts";

/** One other router. Times are milliseconds on this process's monotonic clock. */
export interface Peer {
  readonly name: string;
  readonly incarnation: string;
  at: DatagramAddress;
  heardAt: number;
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
  /** By how much intervals grow with the number of peers, so that messages a second stay bounded. */
  readonly stretch: () => number;
  readonly all: () => readonly Peer[];
  /** Takes a router that the store knows. */
  readonly add: (entry: RouterEntry) => void;
  /** @returns The sender of a message that came just now; nothing if a newer message came before it. */
  readonly hear: (message: RouterMessage, from: DatagramAddress) => Peer | undefined;
  /** Whether a message of it came just now. */
  readonly isHeard: (peer: Peer) => boolean;
  /** Whether it may be serving although it may be silent. */
  readonly mayServe: (peer: Peer) => boolean;
  readonly forget: (peer: Peer) => void;
  /** Writes to the log that a peer is not heard any more. */
  readonly noteSilence: (peer: Peer) => void;
}

const writeLog = createLogger("peers");

/** @param self - This router's name. */
export const createPeerTable = (self: string, clock: Clock): PeerTable => {
  const peers = new Map<string, Peer>();

  const stretch = (): number => Math.max(1, peers.size / peersAtShortestInterval);
  const isHeard = (peer: Peer): boolean =>
    !peer.ends && clock.monotonic() - peer.heardAt < peerSilence * stretch();
  const mayServe = (peer: Peer): boolean => !peer.ends && clock.monotonic() - peer.heardAt < peerMemory;

  const make = (name: string, incarnation: string, at: DatagramAddress, heardAt: number): Peer => {
    const peer = {
      name,
      incarnation,
      at,
      heardAt,
      theirTime: undefined,
      proofAge: Number.POSITIVE_INFINITY,
      isKnownLive: false,
      standsDown: false,
      ends: false,
    };
    peers.set(name, peer);
    return peer;
  };

  const meet = ({ name, incarnation }: RouterMessage, from: DatagramAddress): Peer => {
    const known = peers.get(name);
    if (known?.incarnation === incarnation) return known;
    writeLog("met", { peer: name, incarnation });
    return make(name, incarnation, from, clock.monotonic());
  };

  return {
    stretch,
    all: () => [...peers.values()],
    add: ({ name, incarnation, address, port }) => {
      if (name === self || peers.has(name)) return;
      make(name, incarnation, { address, port }, clock.monotonic() - peerSilence * stretch());
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
      peer.proofAge = message.configuration?.[1] ?? Number.POSITIVE_INFINITY;
      peer.standsDown = message.standsDown;
      peer.ends = message.ends;
      return peer;
    },
    isHeard,
    mayServe,
    forget: ({ name }) => {
      peers.delete(name);
    },
    noteSilence: (peer) => {
      if (!peer.isKnownLive) return;
      peer.isKnownLive = false;
      writeLog("silent", { peer: peer.name, ends: peer.ends });
    },
  };
};
