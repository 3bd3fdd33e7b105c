/** Builds heartbeat messages and sends them to all peers of the data centre and to other data centres. */
import { create, toBinary } from "@bufbuild/protobuf";
import { PeerMessageSchema } from "../../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type { PeerMessage } from "../../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type { PeerLink } from "../../protocol/peers/PeerNetwork.ts";
import type { Peer } from "../../state/peerDirectory.ts";
import { heartbeats } from "./constants.ts";
import type { Member } from "./Membership.ts";
import type { PeerMessageExtension } from "./PeerMessageExtension.ts";
import type { PeerLinks } from "./peerLinks.ts";

export interface HeartbeatSenderDependencies {
  readonly self: () => Member;
  readonly isLeaving: () => boolean;
  /** Number of live routers of the data centre, including this one. */
  readonly countLive: () => number;
  readonly extensions: readonly PeerMessageExtension[];
  readonly links: () => Pick<PeerLinks, "localLinks" | "remoteLinks" | "linkTo">;
}

/** Sends heartbeats, and other messages to peers. */
export interface HeartbeatSender {
  /** The time until the next heartbeat, milliseconds. */
  readonly interval: () => number;
  /** A message without data of extensions. */
  readonly newMessage: () => PeerMessage;
  /** The first message of a stream to a peer, encoded. */
  readonly firstMessage: (peer: Peer) => Uint8Array;
  /** Sends to one peer; does nothing if there is no stream to it. */
  readonly sendTo: (name: string, message: PeerMessage) => void;
  /** Sends a heartbeat to every peer of the data centre. */
  readonly sendToLocalPeers: () => void;
  /** Sends a message to other data centres, unless the last one is too recent. */
  readonly sendToOtherDataCentres: (now: number) => void;
  /** Sends an extra heartbeat to every peer of the data centre; calls in one turn of the event loop share a message. */
  readonly push: () => void;
  readonly stop: () => void;
}

const encode = (message: PeerMessage): Uint8Array => toBinary(PeerMessageSchema, message);

const sendToAll = (links: readonly PeerLink[], message: PeerMessage): void => {
  const encoded = encode(message);
  for (const link of links) link.send(encoded);
};

/** Creates a sender; its messages go to the links that exist when they are sent. */
export const createHeartbeatSender = (dependencies: HeartbeatSenderDependencies): HeartbeatSender => {
  const { extensions } = dependencies;
  let pushPending = false;
  let stopped = false;
  let remoteSentAt = Number.NEGATIVE_INFINITY;

  const interval = (): number =>
    Math.min(
      heartbeats.maximumInterval,
      Math.max(heartbeats.minimumInterval, (dependencies.countLive() - 1) * heartbeats.intervalPerPeer),
    );

  const newMessage = (nextWithin = interval()): PeerMessage =>
    create(PeerMessageSchema, {
      incarnation: dependencies.self().incarnation,
      nextWithin,
      leaving: dependencies.isLeaving(),
    });

  const remoteMessage = (): PeerMessage => {
    const message = newMessage(heartbeats.crossDataCentreInterval);
    for (const extension of extensions) extension.addToRemoteMessage(message);
    return message;
  };

  const firstMessage = (peer: Peer): Uint8Array => {
    if (peer.dataCentre !== dependencies.self().dataCentre) return encode(remoteMessage());
    const message = newMessage();
    for (const extension of extensions) extension.addToFirstMessage(message);
    return encode(message);
  };

  const sendToLocalPeers = (): void => {
    if (stopped) return;
    const message = newMessage();
    for (const extension of extensions) extension.addToHeartbeat(message);
    sendToAll(dependencies.links().localLinks(), message);
  };

  const sendToOtherDataCentres = (now: number): void => {
    const links = dependencies.links().remoteLinks();
    if (links.length === 0 || now - remoteSentAt < heartbeats.crossDataCentreInterval) return;
    remoteSentAt = now;
    sendToAll(links, remoteMessage());
  };

  const push = (): void => {
    if (pushPending) return;
    pushPending = true;
    queueMicrotask(() => {
      pushPending = false;
      sendToLocalPeers();
    });
  };

  return {
    interval,
    newMessage: () => newMessage(),
    firstMessage,
    sendTo: (name, message) => dependencies.links().linkTo(name)?.send(encode(message)),
    sendToLocalPeers,
    sendToOtherDataCentres,
    push,
    stop: () => (stopped = true),
  };
};
