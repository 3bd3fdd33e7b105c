/** Makes the messages to peers and sends them: to all peers of the data centre, and to other data centres. */
import { create, toBinary } from "@bufbuild/protobuf";
import { PeerMessageSchema } from "../../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type { PeerMessage } from "../../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type { PeerLink } from "../../protocol/peers/PeerNetwork.ts";
import type { Peer } from "../../state/peerDirectory.ts";
import { heartbeats } from "./constants.ts";
import type { Member } from "./Membership.ts";
import type { PeerMessageExtension } from "./PeerMessageExtension.ts";
import type { PeerLinks } from "./peerLinks.ts";

/** What messages are made from. */
export interface HeartbeatSenderDependencies {
  readonly self: () => Member;
  readonly isLeaving: () => boolean;
  /** Number of live routers of the data centre, this one among them. */
  readonly countLive: () => number;
  readonly features: readonly PeerMessageExtension[];
  readonly links: () => Pick<PeerLinks, "near" | "far" | "linkTo">;
}

/** Sends what there is to say. */
export interface HeartbeatSender {
  /** Until the next heartbeat, milliseconds. */
  readonly interval: () => number;
  readonly newMessage: () => PeerMessage;
  /** The first message of a stream to a peer. */
  readonly introduction: (peer: Peer) => Uint8Array;
  readonly sendTo: (name: string, message: PeerMessage) => void;
  /** To every peer of the data centre. */
  readonly sendNear: () => void;
  /** To other data centres, if it is time. */
  readonly sendFar: (now: number) => void;
  /** To every peer of the data centre, once for all that is pushed in one turn of the event loop. */
  readonly push: () => void;
  readonly stop: () => void;
}

const encode = (message: PeerMessage): Uint8Array => toBinary(PeerMessageSchema, message);

const sendEach = (links: readonly PeerLink[], message: PeerMessage): void => {
  const encoded = encode(message);
  for (const link of links) link.send(encoded);
};

/** Makes a sender. */
export const createHeartbeatSender = (parts: HeartbeatSenderDependencies): HeartbeatSender => {
  const { features } = parts;
  let pushPending = false;
  let stopped = false;
  let sentFarAt = Number.NEGATIVE_INFINITY;

  const interval = (): number =>
    Math.min(
      heartbeats.maximumInterval,
      Math.max(heartbeats.minimumInterval, (parts.countLive() - 1) * heartbeats.intervalPerPeer),
    );

  const newMessage = (nextWithin = interval()): PeerMessage =>
    create(PeerMessageSchema, {
      incarnation: parts.self().incarnation,
      nextWithin,
      leaving: parts.isLeaving(),
    });

  const representation = (): PeerMessage => {
    const message = newMessage(heartbeats.representedInterval);
    for (const feature of features) feature.addToRemoteMessage(message);
    return message;
  };

  const introduction = (peer: Peer): Uint8Array => {
    if (peer.dataCentre !== parts.self().dataCentre) return encode(representation());
    const message = newMessage();
    for (const feature of features) feature.addToFirstMessage(message);
    return encode(message);
  };

  const sendNear = (): void => {
    if (stopped) return;
    const message = newMessage();
    for (const feature of features) feature.addToHeartbeat(message);
    sendEach(parts.links().near(), message);
  };

  const sendFar = (now: number): void => {
    const far = parts.links().far();
    if (far.length === 0 || now - sentFarAt < heartbeats.representedInterval) return;
    sentFarAt = now;
    sendEach(far, representation());
  };

  const push = (): void => {
    if (pushPending) return;
    pushPending = true;
    queueMicrotask(() => {
      pushPending = false;
      sendNear();
    });
  };

  return {
    interval,
    newMessage: () => newMessage(),
    introduction,
    sendTo: (name, message) => parts.links().linkTo(name)?.send(encode(message)),
    sendNear,
    sendFar,
    push,
    stop: () => (stopped = true),
  };
};
