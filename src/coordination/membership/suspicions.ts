/** Indirect checks of suspect peers: asks other routers whether they receive heartbeats, and answers them. */
import { create } from "@bufbuild/protobuf";
import {
  SightingSchema,
  SuspicionSchema,
} from "../../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type { PeerMessage, Suspicion } from "../../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type { Peer, PeerDirectory } from "../../state/peerDirectory.ts";
import type { Clock } from "../clock.ts";
import { indirectProbeCount } from "./constants.ts";
import { rendezvousOrder } from "./rendezvous.ts";

export interface SuspicionsDependencies {
  readonly name: string;
  readonly directory: PeerDirectory;
  readonly clock: Clock;
  readonly liveNames: () => readonly string[];
  readonly newMessage: () => PeerMessage;
  /** Sends to one peer; does nothing if there is no stream to it. */
  readonly sendTo: (name: string, message: PeerMessage) => void;
  /** Sends a heartbeat to all peers of the data centre at once. */
  readonly push: () => void;
}

/** The questions and answers about suspect peers. */
export interface Suspicions {
  /** Sends the suspicion to the suspect itself and to some other routers. */
  readonly ask: (suspect: Peer) => void;
  /** Asks about every peer that is suspect now. */
  readonly askAll: () => void;
  /** Reports to the asker which of its suspects are alive to this router; if it is one itself, sends a heartbeat. */
  readonly answer: (asker: string, suspicions: readonly Suspicion[]) => void;
}

/** A heartbeat is recent within this many of the peer's announced intervals. */
const recentIntervals = 2;

const hasRecentHeartbeat = (peer: Peer, incarnation: number, now: number): boolean =>
  peer.state === "live" &&
  peer.incarnation >= incarnation &&
  now - peer.lastMessageAt <= recentIntervals * peer.nextWithin;

/** Creates the functions that ask and answer. */
export const createSuspicions = (dependencies: SuspicionsDependencies): Suspicions => {
  const { name, directory, clock } = dependencies;

  const ask = (suspect: Peer): void => {
    const message = dependencies.newMessage();
    const { name: suspectName, incarnation } = suspect;
    message.suspicions = [create(SuspicionSchema, { name: suspectName, incarnation })];
    const others = dependencies.liveNames().filter((other) => other !== name && other !== suspectName);
    const selectionKey = `${name}/${suspectName}/${clock.monotonic()}`;
    const asked = rendezvousOrder(selectionKey, others).slice(0, indirectProbeCount);
    for (const other of [suspectName, ...asked]) dependencies.sendTo(other, message);
  };

  const askAll = (): void => {
    for (const peer of directory.all()) {
      if (peer.state === "suspect") ask(peer);
    }
  };

  const answer = (asker: string, suspicions: readonly Suspicion[]): void => {
    const now = clock.monotonic();
    if (suspicions.some((suspicion) => suspicion.name === name)) dependencies.push();
    const message = dependencies.newMessage();
    for (const suspicion of suspicions) {
      const peer = directory.get(suspicion.name);
      if (peer === undefined || !hasRecentHeartbeat(peer, suspicion.incarnation, now)) continue;
      const { name: peerName, incarnation, lastMessageAt: heardAt } = peer;
      const age = Math.round(now - heardAt);
      message.sightings.push(create(SightingSchema, { name: peerName, incarnation, age }));
    }
    if (message.sightings.length > 0) dependencies.sendTo(asker, message);
  };

  return { ask, askAll, answer };
};
