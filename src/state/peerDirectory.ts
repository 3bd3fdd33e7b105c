/**
 * A router's view of the other routers: their identity, whether they are alive, and the configuration last reported.
 *
 * A peer whose messages stop becomes suspect, and then dead unless a message of its own or another router's sighting
 * arrives. Dead is final for an incarnation: its messages are refused until the peer joins with a higher incarnation.
 */
import type { ListedVm } from "../protocol/types.ts";

/**
 * - `listed`: in the VM list, but no message received yet.
 * - `live`: its messages arrive in time.
 * - `suspect`: no message arrived in time; still counted as a member until it is dead.
 * - `dead`: refused until it joins with a higher incarnation.
 * - `leaving`: accepts no more work.
 */
export type PeerState = "listed" | "live" | "suspect" | "dead" | "leaving";

/** The configuration that a peer has in force. */
export interface PeerConfiguration {
  readonly version: number | undefined;
  /** The configuration includes the effect of every log record below this offset. */
  readonly knownTo: number;
  /** When the peer last read the log, milliseconds on this process's monotonic clock. */
  readonly logReadAt: number | undefined;
}

/** One peer. The directory changes entries in place, so read them at once and do not store them. */
export interface Peer {
  readonly name: string;
  readonly dataCentre: string;
  readonly url: string;
  readonly incarnation: number;
  readonly state: PeerState;
  readonly listed: boolean;
  /** When its last message arrived, milliseconds on the monotonic clock. */
  readonly lastMessageAt: number;
  /** When it last was known to be alive, by its own message or by another router's sighting. */
  readonly lastAliveAt: number;
  /** Milliseconds within which it promised to send its next message. */
  readonly nextWithin: number;
  /** When it became suspect or dead. */
  readonly changedAt: number;
  readonly configuration: PeerConfiguration | undefined;
}

/** The identity that a peer states when it joins. */
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

/** Timeouts after which a peer is suspect, dead and removed. */
export interface PeerTimeouts {
  /** A peer becomes suspect after this many of its promised intervals without a message. */
  readonly missedIntervals: number;
  /** A suspect peer becomes dead after this many further intervals. */
  readonly suspectIntervals: number;
  /** Milliseconds added to both timeouts. */
  readonly slack: number;
  /** Milliseconds for which a dead or leaving peer is kept that is not in the VM list. */
  readonly retention: number;
}

/** The peers that one router knows. */
export interface PeerDirectory {
  readonly get: (name: string) => Peer | undefined;
  readonly all: () => readonly Peer[];
  /** Applies a complete VM list. */
  readonly applyVms: (vms: readonly ListedVm[], now: number) => void;
  /**
   * Admits a peer, unless its incarnation is out of date.
   *
   * @returns `undefined` if it is admitted, otherwise the incarnation that it has to exceed.
   */
  readonly admit: (identity: PeerIdentity, now: number) => number | undefined;
  /** Records a message of a peer. @returns False if its sender is unknown or its incarnation is out of date. */
  readonly noteMessage: (
    name: string,
    incarnation: number,
    nextWithin: number,
    leaving: boolean,
    now: number,
  ) => boolean;
  /** Records that another router received a message of a peer at the time `at`. */
  readonly noteSighting: (name: string, incarnation: number, at: number, now: number) => void;
  readonly noteConfiguration: (name: string, configuration: PeerConfiguration) => void;
  /** Records that the connection to a peer broke: a live peer becomes suspect. */
  readonly markBroken: (name: string, now: number) => void;
  /** Updates the states of all peers by the timeouts. */
  readonly updateStates: (now: number) => void;
  /** Restarts the timeouts of all peers. Used after a pause of this process, when it could not receive messages. */
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

/** @param self - This router's name; its own entry in a VM list is skipped. */
export const createPeerDirectory = (self: string, timeouts: PeerTimeouts): PeerDirectory => {
  const peers = new Map<string, Entry>();
  const listeners = new Set<(change: PeerChange) => void>();

  const setState = (peer: Entry, state: PeerState, now: number): void => {
    const from = peer.state;
    if (from === state) return;
    peer.state = state;
    peer.changedAt = now;
    for (const listener of listeners) listener({ peer, from });
  };

  const findOrAdd = (identity: Omit<PeerIdentity, "incarnation">, now: number): Entry => {
    const known = peers.get(identity.name);
    if (known !== undefined) return known;
    const created = newEntry(identity, now);
    peers.set(identity.name, created);
    return created;
  };

  const addListed = (vm: ListedVm, url: string, now: number): void => {
    const peer = findOrAdd({ name: vm.id, dataCentre: vm.dataCentre, url }, now);
    peer.listed = true;
    if (peer.state === "listed" || peer.state === "dead") peer.url = url;
    if (vm.state === "leaving") setState(peer, "leaving", now);
  };

  /** True for a peer that left the VM list before it sent a message, or that has been dead or leaving for `memory`. */
  const isExpired = (peer: Peer, now: number): boolean => {
    if (peer.listed) return false;
    if (peer.state === "listed") return true;
    const gone =
      peer.state === "dead" || (peer.state === "leaving" && now - peer.lastAliveAt > timeouts.retention);
    return gone && now - peer.changedAt > timeouts.retention;
  };

  const removeExpired = (now: number): void => {
    for (const peer of [...peers.values()]) {
      if (!isExpired(peer, now)) continue;
      setState(peer, "dead", now);
      peers.delete(peer.name);
    }
  };

  const applyVms = (vms: readonly ListedVm[], now: number): void => {
    for (const peer of peers.values()) peer.listed = false;
    for (const vm of vms) {
      if (vm.role !== "router" || vm.peerUrl === undefined || vm.id === self) continue;
      addListed(vm, vm.peerUrl, now);
    }
    removeExpired(now);
  };

  const isOutOfDate = (peer: Peer, incarnation: number): boolean =>
    incarnation < peer.incarnation || (incarnation === peer.incarnation && peer.state === "dead");

  const admit = (identity: PeerIdentity, now: number): number | undefined => {
    const peer = findOrAdd(identity, now);
    if (isOutOfDate(peer, identity.incarnation)) return peer.incarnation;
    const isNew = identity.incarnation > peer.incarnation;
    peer.incarnation = identity.incarnation;
    peer.dataCentre = identity.dataCentre;
    peer.url = identity.url;
    peer.lastAliveAt = now;
    if (isNew || peer.state !== "leaving") setState(peer, "live", now);
    return undefined;
  };

  const noteMessage: PeerDirectory["noteMessage"] = (name, incarnation, nextWithin, leaving, now) => {
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

  const timeoutOf = (peer: Peer): number => peer.nextWithin * timeouts.missedIntervals + timeouts.slack;

  const noteSighting: PeerDirectory["noteSighting"] = (name, incarnation, at, now) => {
    const peer = peers.get(name);
    if (peer === undefined || peer.state === "dead" || isOutOfDate(peer, incarnation)) return;
    if (at <= peer.lastAliveAt) return;
    peer.incarnation = incarnation;
    peer.lastAliveAt = at;
    if (peer.state === "suspect" && now - at <= timeoutOf(peer)) setState(peer, "live", now);
  };

  const markBroken = (name: string, now: number): void => {
    const peer = peers.get(name);
    if (peer?.state === "live") setState(peer, "suspect", now);
  };

  const updateState = (peer: Entry, now: number): void => {
    if (peer.state === "live" && now - peer.lastAliveAt > timeoutOf(peer)) setState(peer, "suspect", now);
    if (peer.state !== "suspect") return;
    const waited = peer.nextWithin * timeouts.suspectIntervals + timeouts.slack;
    if (now - peer.changedAt > waited) setState(peer, "dead", now);
  };

  return {
    get: (name) => peers.get(name),
    all: () => [...peers.values()],
    applyVms,
    admit,
    noteMessage,
    noteSighting,
    noteConfiguration: (name, configuration) => {
      const peer = peers.get(name);
      if (peer !== undefined) peer.configuration = configuration;
    },
    markBroken,
    updateStates: (now) => {
      for (const peer of peers.values()) updateState(peer, now);
      removeExpired(now);
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
