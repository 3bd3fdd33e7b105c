/**
 * This router's streams to others: one task for each peer of the data centre, and one for each other data
 * centre that this router speaks to for its own.
 */
import { create } from "@bufbuild/protobuf";
import { QuestionSchema } from "../../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type { Joined, Router } from "../../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type { PeerLink, PeerNetwork } from "../../protocol/peers/PeerNetwork.ts";
import type { Peer, PeerDirectory } from "../../state/peerDirectory.ts";
import type { Clock } from "../clock.ts";
import { pause } from "../clock.ts";
import { withTimeLimit } from "../timeLimit.ts";
import { joining } from "./constants.ts";
import { rendezvousOrder } from "./rendezvous.ts";

/** What the streams need of the membership. */
export interface PeerLinksDependencies {
  readonly network: PeerNetwork;
  readonly directory: PeerDirectory;
  readonly clock: Clock;
  /** A number from 0 to below 1. */
  readonly random: () => number;
  readonly dataCentre: string;
  /** Who this router is now. */
  readonly identity: () => Omit<Router, "$typeName">;
  /** The first message of a stream. */
  readonly introduction: (peer: Peer) => Uint8Array;
  /** Told that this router's incarnation is out of date at a peer that knows the given one. */
  readonly rise: (known: number) => void;
  /** Whether this router speaks for its data centre to another one. */
  readonly isRepresentative: (dataCentre: string) => boolean;
}

/** The streams. */
export interface PeerLinks extends AsyncDisposable {
  /** Starts and ends tasks as the directory and the membership want it. */
  readonly reconcile: () => void;
  /** Open streams to peers of the data centre. */
  readonly near: () => readonly PeerLink[];
  /** Open streams to other data centres. */
  readonly far: () => readonly PeerLink[];
  readonly linkTo: (name: string) => PeerLink | undefined;
  /** Tries a peer again at once: it has just shown that it is there. */
  readonly wake: (name: string) => void;
}

const isWorthATask = (peer: Peer): boolean =>
  peer.state !== "leaving" && (peer.state !== "dead" || peer.listed);

/** Starts with no stream. */
export const createPeerLinks = (parts: PeerLinksDependencies): PeerLinks => {
  const { network, directory, clock, dataCentre } = parts;
  const stop = new AbortController();
  const near = new Map<string, PeerLink>();
  const far = new Map<string, PeerLink>();
  const tasks = new Map<string, Promise<void>>();
  const waiting = new Map<string, AbortController>();

  const join = async (url: string): Promise<Joined | undefined> => {
    const question = create(QuestionSchema, { body: { case: "join", value: { router: parts.identity() } } });
    try {
      const { body } = await withTimeLimit(clock, stop.signal, joining.timeout, (limit) =>
        network.ask(url, question, limit),
      );
      return body.case === "joined" ? body.value : undefined;
    } catch {
      return undefined;
    }
  };

  /** Joins, once more where this router's incarnation had to rise first. */
  const joinAnew = async (url: string): Promise<Joined | undefined> => {
    const joined = await join(url);
    if (joined === undefined || joined.accepted) return joined;
    parts.rise(joined.knownIncarnation);
    return join(url);
  };

  /** @returns The stream, unless the peer can't be reached or another router has its address now. */
  const connect = async (peer: Peer): Promise<PeerLink | undefined> => {
    const { name, url } = peer;
    const joined = await joinAnew(url);
    if (joined?.accepted !== true || joined.router?.name !== name || stop.signal.aborted) return undefined;
    const link = network.open(url, joined.session);
    link.send(parts.introduction(peer));
    return link;
  };

  /** Holds a stream until it ends. @returns False if there was none. */
  const hold = async (peer: Peer, streams: Map<string, PeerLink>): Promise<boolean> => {
    const link = await connect(peer);
    if (link === undefined) return false;
    streams.set(peer.name, link);
    await link.ended;
    if (streams.get(peer.name) === link) streams.delete(peer.name);
    return true;
  };

  /** Waits before the next try, longer after several failures, and never for as long as another router. */
  const waitToRetry = async (name: string, failures: number): Promise<void> => {
    const delay = Math.min(joining.longestRetryInterval, joining.retryInterval * 2 ** Math.min(failures, 10));
    const woken = new AbortController();
    waiting.set(name, woken);
    const wake = (): void => woken.abort();
    stop.signal.addEventListener("abort", wake);
    if (stop.signal.aborted) wake();
    await pause(clock, delay * (0.5 + parts.random() / 2), woken.signal);
    stop.signal.removeEventListener("abort", wake);
    waiting.delete(name);
  };

  const followPeer = async (name: string): Promise<void> => {
    let failures = 0;
    while (!stop.signal.aborted) {
      const peer = directory.get(name);
      if (peer === undefined || !isWorthATask(peer)) return;
      failures = (await hold(peer, near)) ? 0 : failures + 1;
      await waitToRetry(name, failures);
    }
  };

  const routersOf = (other: string): readonly string[] => {
    const peers = directory.all().filter((peer) => peer.dataCentre === other && isWorthATask(peer));
    return rendezvousOrder(
      `${dataCentre}>${other}`,
      peers.map((peer) => peer.name),
    );
  };

  /** Tries the other data centre's routers in turn, and stays with the first that lets this one in. */
  const followDataCentre = async (other: string): Promise<void> => {
    let failures = 0;
    while (!stop.signal.aborted && parts.isRepresentative(other)) {
      const candidates = routersOf(other);
      const peer = directory.get(candidates[failures % Math.max(1, candidates.length)] ?? "");
      if (peer === undefined) return;
      failures = (await hold(peer, far)) ? 0 : failures + 1;
      await waitToRetry(peer.name, failures);
    }
  };

  const start = (key: string, run: () => Promise<void>): void => {
    if (tasks.has(key) || stop.signal.aborted) return;
    tasks.set(
      key,
      run().finally(() => tasks.delete(key)),
    );
  };

  /** Ends streams to data centres that another router speaks to now, and to peers that are gone. */
  const endUnwanted = (): void => {
    for (const [name, link] of far) {
      const peer = directory.get(name);
      const wanted = peer !== undefined && isWorthATask(peer) && parts.isRepresentative(peer.dataCentre);
      if (!wanted) void link[Symbol.asyncDispose]();
    }
    for (const [name, link] of near) {
      const state = directory.get(name)?.state ?? "dead";
      if (state === "dead") void link[Symbol.asyncDispose]();
    }
  };

  const reconcile = (): void => {
    const others = new Set<string>();
    for (const peer of directory.all()) {
      if (!isWorthATask(peer)) continue;
      if (peer.dataCentre === dataCentre) start(`peer ${peer.name}`, () => followPeer(peer.name));
      else others.add(peer.dataCentre);
    }
    for (const other of others) {
      if (parts.isRepresentative(other)) start(`data centre ${other}`, () => followDataCentre(other));
    }
    endUnwanted();
  };

  return {
    reconcile,
    near: () => [...near.values()],
    far: () => [...far.values()],
    linkTo: (name) => near.get(name) ?? far.get(name),
    wake: (name) => waiting.get(name)?.abort(),
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await Promise.all([...near.values(), ...far.values()].map((link) => link[Symbol.asyncDispose]()));
      await Promise.all(tasks.values());
    },
  };
};
