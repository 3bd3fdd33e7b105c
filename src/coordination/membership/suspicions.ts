/** Asking others about a peer that is silent, and answering when they ask. */
import { create } from "@bufbuild/protobuf";
import {
  SightingSchema,
  SuspicionSchema,
} from "../../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type { PeerMessage, Suspicion } from "../../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type { Peer, PeerDirectory } from "../../state/peerDirectory.ts";
import type { Clock } from "../clock.ts";
import { askedAboutSuspect } from "./constants.ts";
import { rendezvousOrder } from "./rendezvous.ts";

/** What questions about suspects need. */
export interface SuspicionsDependencies {
  readonly name: string;
  readonly directory: PeerDirectory;
  readonly clock: Clock;
  readonly liveNames: () => readonly string[];
  readonly newMessage: () => PeerMessage;
  /** Sends to one peer, if there is a stream. */
  readonly sendTo: (name: string, message: PeerMessage) => void;
  /** Shows everybody that this router lives. */
  readonly push: () => void;
}

/** See the module. */
export interface Suspicions {
  /** Asks the suspect itself, and some others whether they hear it. */
  readonly ask: (suspect: Peer) => void;
  /** Asks about every peer that is suspect by now. */
  readonly askAll: () => void;
  /** Tells the asker which of its suspects this router hears. */
  readonly answer: (asker: string, suspicions: readonly Suspicion[]) => void;
}

/** Intervals within which a peer counts as heard. */
const heardIntervals = 2;

const hears = (peer: Peer, incarnation: number, now: number): boolean =>
  peer.state === "live" &&
  peer.incarnation >= incarnation &&
  now - peer.lastMessageAt <= heardIntervals * peer.nextWithin;

/** Makes the two halves. */
export const createSuspicions = (parts: SuspicionsDependencies): Suspicions => {
  const { name, directory, clock } = parts;

  const ask = (suspect: Peer): void => {
    const message = parts.newMessage();
    const { name: suspectName, incarnation } = suspect;
    message.suspicions = [create(SuspicionSchema, { name: suspectName, incarnation })];
    const others = parts.liveNames().filter((other) => other !== name && other !== suspectName);
    const chance = `${name}/${suspectName}/${clock.monotonic()}`;
    const asked = rendezvousOrder(chance, others).slice(0, askedAboutSuspect);
    for (const other of [suspectName, ...asked]) parts.sendTo(other, message);
  };

  const askAll = (): void => {
    for (const peer of directory.all()) {
      if (peer.state === "suspect") ask(peer);
    }
  };

  const answer = (asker: string, suspicions: readonly Suspicion[]): void => {
    const now = clock.monotonic();
    if (suspicions.some((suspicion) => suspicion.name === name)) parts.push();
    const message = parts.newMessage();
    for (const suspicion of suspicions) {
      const peer = directory.get(suspicion.name);
      if (peer === undefined || !hears(peer, suspicion.incarnation, now)) continue;
      const { name: heard, incarnation, lastMessageAt: heardAt } = peer;
      const age = Math.round(now - heardAt);
      message.sightings.push(create(SightingSchema, { name: heard, incarnation, age }));
    }
    if (message.sightings.length > 0) parts.sendTo(asker, message);
  };

  return { ask, askAll, answer };
};
