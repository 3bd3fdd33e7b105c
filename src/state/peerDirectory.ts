/**
 * What a router believes about the other routers: who they are, whether they are alive, and what they said last.
 *
 * A peer that is not heard in time becomes suspect and, unless it or somebody who heard it speaks up, dead.
 * Death is final for an incarnation: whatever it still sends is refused until it comes with a higher one.
 */
import type { ListedVm } from "../protocol/types.ts";

/**
 * - `listed`: in the VM list, never heard.
 * - `live`: heard in time.
 * - `suspect`: not heard in time; still counted until it is dead.
 * - `dead`: refused until it comes with a higher incarnation.
 * - `leaving`: takes no more work.
 */
export type PeerState = "listed" | "live" | "suspect" | "dead" | "leaving";

/** What a peer has in force. */
export interface PeerConfiguration {
  readonly version: number | undefined;
  /** Every log record below this offset is taken account of. */
  readonly knownTo: number;
  /** When the peer last read the log, milliseconds on this process's monotonic clock. */
  readonly logReadAt: number | undefined;
}

/** One peer as it is believed to be. The directory changes entries in place: read, do not keep. */
export interface Peer {
  readonly name: string;
  readonly dataCentre: string;
  readonly url: string;
  readonly incarnation: number;
  readonly state: PeerState;
  readonly listed: boolean;
  /** When its last message came, milliseconds on the monotonic clock. */
  readonly lastMessageAt: number;
  /** When it or somebody who heard it last showed that it lives. */
  readonly lastAliveAt: number;
  /** It promised its next message within this many milliseconds. */
  readonly nextWithin: number;
  /** When it became suspect or dead. */
  readonly changedAt: number;
  readonly configuration: PeerConfiguration | undefined;
}

/** Who a peer says it is. */
export interface PeerIdentity {
  readonly name: string;
  readonly dataCentre: string;
  readonly incarnation: number;
  readonly url: string;
}

/** A change of a peer's state. */
export interface PeerChange {
  readonly peer: Peer;
  readonly from: PeerState;
}

/** Times by which peers are judged. */
export interface PeerTimeouts {
  /** A peer is suspect when it is silent for this many of its promised intervals. */
  readonly missedIntervals: number;
  /** A suspect is dead after this many more of its promised intervals. */
  readonly suspectIntervals: number;
  /** Added to both, milliseconds. */
  readonly slack: number;
  /** How long a dead peer that is not listed is remembered, milliseconds. */
  readonly retention: number;
}

/** The peers known to one router. */
export interface PeerDirectory {
  readonly get: (name: string) => Peer | undefined;
  readonly all: () => readonly Peer[];
  /** Takes a whole VM list. */
  readonly applyVms: (vms: readonly ListedVm[], now: number) => void;
  /**
   * Lets a peer in, or not.
   *
   * @returns The incarnation that has to be passed, if the peer's is out of date.
   */
  readonly admit: (identity: PeerIdentity, now: number) => number | undefined;
  /** Notes a message. @returns False if it is of an incarnation that is out of date. */
  readonly noteMessage: (
    name: string,
    incarnation: number,
    nextWithin: number,
    leaving: boolean,
    now: number,
  ) => boolean;
  /** Notes that somebody else heard a peer `at` that time. */
  readonly noteSighting: (name: string, incarnation: number, at: number, now: number) => void;
  readonly noteConfiguration: (name: string, configuration: PeerConfiguration) => void;
  /** Notes that a connection broke. */
  readonly markBroken: (name: string, now: number) => void;
  /** Judges all peers anew. */
  readonly updateStates: (now: number) => void;
  /** Gives all peers time as though nothing had been missed: this process itself stood still. */
  readonly resetTimeouts: (now: number) => void;
  /** @returns A function that ends the subscription. */
  readonly subscribe: (listener: (change: PeerChange) => void) => () => void;
}

type Entry = { -readonly [Key in keyof Peer]: Peer[Key] };

const initialInterval = 1_000;

const newEntry = (identity: Omit<PeerIdentity, "incarnation">, now: number): Entry => ({
  ...identity,
  incarnation: 0,
  state: "listed",
  listed: false,
  lastMessageAt: 0,
  lastAliveAt: now,
  nextWithin: initialInterval,
  changedAt: now,
  configuration: undefined,
});

/**
 * Makes an empty directory.
 *
 * @param self - This router's name; it is never its own peer.
 */
export const createPeerDirectory = (self: string, patience: PeerTimeouts): PeerDirectory => {
  const peers = new Map<string, Entry>();
  const listeners = new Set<(change: PeerChange) => void>();

  const setState = (peer: Entry, state: PeerState, now: number): void => {
    const from = peer.state;
    if (from === state) return;
    peer.state = state;
    peer.changedAt = now;
    for (const listener of listeners) listener({ peer, from });
  };

  const find = (identity: Omit<PeerIdentity, "incarnation">, now: number): Entry => {
    const known = peers.get(identity.name);
    if (known !== undefined) return known;
    const made = newEntry(identity, now);
    peers.set(identity.name, made);
    return made;
  };

  const list = (vm: ListedVm, url: string, now: number): void => {
    const peer = find({ name: vm.id, dataCentre: vm.dataCentre, url }, now);
    peer.listed = true;
    if (peer.state === "listed" || peer.state === "dead") peer.url = url;
    if (vm.state === "leaving") setState(peer, "leaving", now);
  };

  /** A peer that is neither listed nor alive is of no more use. */
  const isForgotten = (peer: Peer, now: number): boolean => {
    if (peer.listed) return false;
    if (peer.state === "listed") return true;
    const gone =
      peer.state === "dead" || (peer.state === "leaving" && now - peer.lastAliveAt > patience.retention);
    return gone && now - peer.changedAt > patience.retention;
  };

  const forget = (now: number): void => {
    for (const peer of [...peers.values()]) {
      if (!isForgotten(peer, now)) continue;
      setState(peer, "dead", now);
      peers.delete(peer.name);
    }
  };

  const applyVms = (vms: readonly ListedVm[], now: number): void => {
    for (const peer of peers.values()) peer.listed = false;
    for (const vm of vms) {
      if (vm.role !== "router" || vm.peerUrl === undefined || vm.id === self) continue;
      list(vm, vm.peerUrl, now);
    }
    forget(now);
  };

  const isOutOfDate = (peer: Peer, incarnation: number): boolean =>
    incarnation < peer.incarnation || (incarnation === peer.incarnation && peer.state === "dead");

  const admit = (identity: PeerIdentity, now: number): number | undefined => {
    const peer = find(identity, now);
    if (isOutOfDate(peer, identity.incarnation)) return peer.incarnation;
    const isNew = identity.incarnation > peer.incarnation;
    peer.incarnation = identity.incarnation;
    peer.dataCentre = identity.dataCentre;
    peer.url = identity.url;
    peer.lastAliveAt = now;
    if (isNew || peer.state !== "leaving") setState(peer, "live", now);
    return undefined;
  };

  const hear: PeerDirectory["noteMessage"] = (name, incarnation, nextWithin, leaving, now) => {
    const peer = peers.get(name);
    if (peer === undefined || isOutOfDate(peer, incarnation)) return false;
    peer.incarnation = incarnation;
    peer.lastMessageAt = now;
    peer.lastAliveAt = now;
    peer.nextWithin = nextWithin;
    if (leaving) setState(peer, "leaving", now);
    else if (peer.state !== "leaving") setState(peer, "live", now);
    return true;
  };

  const patienceFor = (peer: Peer): number => peer.nextWithin * patience.missedIntervals + patience.slack;

  const sight: PeerDirectory["noteSighting"] = (name, incarnation, at, now) => {
    const peer = peers.get(name);
    if (peer === undefined || peer.state === "dead" || isOutOfDate(peer, incarnation)) return;
    if (at <= peer.lastAliveAt) return;
    peer.incarnation = incarnation;
    peer.lastAliveAt = at;
    if (peer.state === "suspect" && now - at <= patienceFor(peer)) setState(peer, "live", now);
  };

  const markBroken = (name: string, now: number): void => {
    const peer = peers.get(name);
    if (peer?.state === "live") setState(peer, "suspect", now);
  };

  const judgeOne = (peer: Entry, now: number): void => {
    if (peer.state === "live" && now - peer.lastAliveAt > patienceFor(peer)) setState(peer, "suspect", now);
    if (peer.state !== "suspect") return;
    const waited = peer.nextWithin * patience.suspectIntervals + patience.slack;
    if (now - peer.changedAt > waited) setState(peer, "dead", now);
  };

  return {
    get: (name) => peers.get(name),
    all: () => [...peers.values()],
    applyVms,
    admit,
    noteMessage: hear,
    noteSighting: sight,
    noteConfiguration: (name, configuration) => {
      const peer = peers.get(name);
      if (peer !== undefined) peer.configuration = configuration;
    },
    markBroken,
    updateStates: (now) => {
      for (const peer of peers.values()) judgeOne(peer, now);
      forget(now);
    },
    resetTimeouts: (now) => {
      for (const peer of peers.values()) {
        peer.lastAliveAt = now;
        if (peer.state === "suspect") peer.changedAt = now;
      }
    },
    subscribe: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
};
