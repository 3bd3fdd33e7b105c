/**
 * Keeps outgoing streams open: one task for each peer of this data centre, and one for each other data centre that
 * this router represents its own to.
 */
import { create } from "@bufbuild/protobuf";
import { QuestionSchema } from "../../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type { Joined, Router } from "../../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type { PeerLink, PeerNetwork } from "../../protocol/peers/PeerNetwork.ts";
import type { Peer, PeerDirectory } from "../../state/peerDirectory.ts";
import type { Clock } from "../clock.ts";
import { pause } from "../clock.ts";
import { withTimeLimit } from "../timeLimit.ts";
import { connecting } from "./constants.ts";
import { rendezvousOrder } from "./rendezvous.ts";
import { runInBackground } from "../../state/backgroundTasks.ts";

export interface PeerLinksDependencies {
  readonly network: PeerNetwork;
  readonly directory: PeerDirectory;
  readonly clock: Clock;
  /** A number from 0 to below 1, for the jitter of retries. */
  readonly random: () => number;
  readonly dataCentre: string;
  /** This router's present identity, with its current incarnation. */
  readonly identity: () => Omit<Router, "$typeName">;
  /** The first message of a stream, encoded. */
  readonly firstMessage: (peer: Peer) => Uint8Array;
  /** Called when a peer refuses this router's incarnation: it must be above the given one. */
  readonly raiseIncarnation: (known: number) => void;
  /** Whether this router represents its data centre to another one. */
  readonly isRepresentative: (dataCentre: string) => boolean;
}

/** The streams, and the tasks that keep them open. */
export interface PeerLinks extends AsyncDisposable {
  /** Starts missing tasks and closes unwanted streams by the present state of the directory and the membership. */
  readonly reconcile: () => void;
  /** Open streams to peers of the data centre. */
  readonly localLinks: () => readonly PeerLink[];
  /** Open streams to other data centres. */
  readonly remoteLinks: () => readonly PeerLink[];
  /** The open stream to a peer of any data centre. */
  readonly linkTo: (name: string) => PeerLink | undefined;
  /** Ends the wait before the next try, since the peer has just shown that it is reachable. */
  readonly retryNow: (name: string) => void;
}

const needsLink = (peer: Peer): boolean => peer.state !== "leaving" && (peer.state !== "dead" || peer.listed);

/** Starts no task before the first call of `reconcile`. */
export const createPeerLinks = (dependencies: PeerLinksDependencies): PeerLinks => {
  const { network, directory, clock, dataCentre } = dependencies;
  const stop = new AbortController();
  const localLinks = new Map<string, PeerLink>();
  const remoteLinks = new Map<string, PeerLink>();
  const tasks = new Map<string, Promise<void>>();
  /** Ends the wait before a retry, by the peer's name. */
  const retryWaits = new Map<string, AbortController>();

  const join = async (url: string): Promise<Joined | undefined> => {
    const question = create(QuestionSchema, {
      body: { case: "join", value: { router: dependencies.identity() } },
    });
    try {
      const { body } = await withTimeLimit(clock, stop.signal, connecting.timeout, (limit) =>
        network.ask(url, question, limit),
      );
      return body.case === "joined" ? body.value : undefined;
    } catch {
      return undefined;
    }
  };

  /** Joins, and retries once with a higher incarnation if the peer refuses the present one. */
  const joinWithRetry = async (url: string): Promise<Joined | undefined> => {
    const joined = await join(url);
    if (joined === undefined || joined.accepted) return joined;
    dependencies.raiseIncarnation(joined.knownIncarnation);
    return join(url);
  };

  /** @returns The stream; `undefined` if the peer can't be reached or refuses, or another router has its address now. */
  const connect = async (peer: Peer): Promise<PeerLink | undefined> => {
    const { name, url } = peer;
    const joined = await joinWithRetry(url);
    if (joined?.accepted !== true || joined.router?.name !== name || stop.signal.aborted) return undefined;
    const link = network.open(url, joined.session);
    link.send(dependencies.firstMessage(peer));
    return link;
  };

  /** Opens a stream and waits until it ends. @returns False if none could be opened. */
  const holdLink = async (peer: Peer, streams: Map<string, PeerLink>): Promise<boolean> => {
    const link = await connect(peer);
    if (link === undefined) return false;
    streams.set(peer.name, link);
    await link.ended;
    if (streams.get(peer.name) === link) streams.delete(peer.name);
    return true;
  };

  /** Waits before the next try: exponential backoff with jitter, so that routers do not retry at the same time. */
  const waitToRetry = async (name: string, failures: number): Promise<void> => {
    const delay = Math.min(
      connecting.maxRetryInterval,
      connecting.retryInterval * 2 ** Math.min(failures, 10),
    );
    const woken = new AbortController();
    retryWaits.set(name, woken);
    const wake = (): void => woken.abort();
    stop.signal.addEventListener("abort", wake);
    if (stop.signal.aborted) wake();
    await pause(clock, delay * (0.5 + dependencies.random() / 2), woken.signal);
    stop.signal.removeEventListener("abort", wake);
    retryWaits.delete(name);
  };

  const maintainPeerLink = async (name: string): Promise<void> => {
    let failures = 0;
    while (!stop.signal.aborted) {
      const peer = directory.get(name);
      if (peer === undefined || !needsLink(peer)) return;
      failures = (await holdLink(peer, localLinks)) ? 0 : failures + 1;
      await waitToRetry(name, failures);
    }
  };

  const routersOf = (other: string): readonly string[] => {
    const peers = directory.all().filter((peer) => peer.dataCentre === other && needsLink(peer));
    return rendezvousOrder(
      `${dataCentre}>${other}`,
      peers.map((peer) => peer.name),
    );
  };

  /** Tries the other data centre's routers in turn, and keeps the stream to the first that accepts this one. */
  const maintainDataCentreLink = async (other: string): Promise<void> => {
    let failures = 0;
    while (!stop.signal.aborted && dependencies.isRepresentative(other)) {
      const candidates = routersOf(other);
      const peer = directory.get(candidates[failures % Math.max(1, candidates.length)] ?? "");
      if (peer === undefined) return;
      failures = (await holdLink(peer, remoteLinks)) ? 0 : failures + 1;
      await waitToRetry(peer.name, failures);
    }
  };

  const startTask = (key: string, run: () => Promise<void>): void => {
    if (tasks.has(key) || stop.signal.aborted) return;
    tasks.set(
      key,
      run().finally(() => tasks.delete(key)),
    );
  };

  /** Closes streams to data centres that another router is the representative to now, and to peers that are dead. */
  const closeUnwantedLinks = (): void => {
    for (const [name, link] of remoteLinks) {
      const peer = directory.get(name);
      const wanted = peer !== undefined && needsLink(peer) && dependencies.isRepresentative(peer.dataCentre);
      if (!wanted) runInBackground("closePeerLink", () => link[Symbol.asyncDispose](), name);
    }
    for (const [name, link] of localLinks) {
      const state = directory.get(name)?.state ?? "dead";
      if (state === "dead") runInBackground("closePeerLink", () => link[Symbol.asyncDispose](), name);
    }
  };

  const reconcile = (): void => {
    const others = new Set<string>();
    for (const peer of directory.all()) {
      if (!needsLink(peer)) continue;
      if (peer.dataCentre === dataCentre) startTask(`peer ${peer.name}`, () => maintainPeerLink(peer.name));
      else others.add(peer.dataCentre);
    }
    for (const other of others) {
      if (dependencies.isRepresentative(other))
        startTask(`data centre ${other}`, () => maintainDataCentreLink(other));
    }
    closeUnwantedLinks();
  };

  return {
    reconcile,
    localLinks: () => [...localLinks.values()],
    remoteLinks: () => [...remoteLinks.values()],
    linkTo: (name) => localLinks.get(name) ?? remoteLinks.get(name),
    retryNow: (name) => retryWaits.get(name)?.abort(),
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await Promise.all(
        [...localLinks.values(), ...remoteLinks.values()].map((link) => link[Symbol.asyncDispose]()),
      );
      await Promise.all(tasks.values());
    },
  };
};
