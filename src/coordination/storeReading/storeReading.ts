/**
 * In a large deployment a few routers of each data centre, the readers, read the platform's store for the others,
 * which query them how far they have read and how long ago. A router without a timely answer reads for itself.
 *
 * An answer is a proof that nothing newer had been published at a given time: the time at which the query was
 * sent, less the age that the reader reports. It is valid only for a router that has itself applied all records up to
 * the reader's position.
 */
import type { DatagramLink } from "../../protocol/forwarding/DatagramLink.ts";
import type { ProofAnswer, ReadProgress } from "../../protocol/forwarding/proofMessage.ts";
import { decodeProofMessage, encodeProofMessage } from "../../protocol/forwarding/proofMessage.ts";
import type { StorePosition } from "../../protocol/StorePosition.ts";
import type { Clock } from "../clock.ts";
import type { FeedFollower } from "../forwarding/feedFollower.ts";
import type { Peer } from "../forwarding/peerTable.ts";
import type { ForwardingBounds } from "../forwarding/types.ts";
import {
  freshnessCheckInterval,
  ownReadAgeShare,
  ownReadRetryDelays,
  ownRegistryAgeShare,
  failuresUntilUnreachable,
  ownRegistryReadInterval,
  proofInterval,
  proofTimeout,
  readerReadAgeShare,
  readerRegistryAgeShare,
} from "./constants.ts";

/** A router's state of one kind of records: the operator's, or the registry. */
export interface FollowedRecords {
  readonly feed: Pick<FeedFollower, "position" | "check" | "readNow">;
  /**
   * @returns The position after the last record that may change a decision; `undefined` before the first read of an
   * epoch.
   */
  readonly lastChangePosition: () => StorePosition | undefined;
  /** @returns Milliseconds since the time up to which all records are known. */
  readonly age: () => number;
  /** Records that everything written before a time is known, milliseconds on the monotonic clock. */
  readonly confirm: (at: number) => void;
}

export interface StoreReadingDependencies {
  readonly link: DatagramLink;
  readonly clock: Clock;
  readonly bounds: Pick<ForwardingBounds, "keyRevocation" | "drain">;
  /** @returns Whether there are enough routers for some to read for others. */
  readonly isEnabled: () => boolean;
  /** @returns Whether this router reads for others. */
  readonly isReader: () => boolean;
  /** @returns The readers of this router's data centre. */
  readonly readers: () => readonly Peer[];
  /** @returns Milliseconds since this router's own last successful read of the operator's records was sent. */
  readonly readAge: () => number;
  readonly operator: FollowedRecords;
  readonly replicas: FollowedRecords;
  /** @returns A number from 0 to 1. */
  readonly random: () => number;
}

interface Question {
  readonly number: number;
  readonly askedAt: number;
}

/** Each process numbers its queries from a random start below this bound. */
const firstNumberBound = 2 ** 40;

export interface StoreReading extends AsyncDisposable {
  /** @returns Whether this router's own reads reach the store, as far as it has tried. */
  readonly reachesStore: () => boolean;
  /**
   * Reads newer records that a peer has announced: at once, but after failed reads not before the retry delay. Every
   * message of every peer announces them, so a store that rejects this router would otherwise get several reads a
   * second.
   */
  readonly requestRead: () => void;
}

/** Keeps the known records fresh until it is disposed of. */
export const startStoreReading = (dependencies: StoreReadingDependencies): StoreReading => {
  const { link, clock, bounds, operator, replicas, random } = dependencies;
  let number = Math.floor(random() * firstNumberBound);
  let pending: Question | undefined;
  let askedAt = Number.NEGATIVE_INFINITY;
  let readerIndex = 0;
  let isChecking = false;
  let mayCheckAt = Number.NEGATIVE_INFINITY;
  let failures = 0;
  let failedAt = Number.NEGATIVE_INFINITY;
  let registryReadAt = Number.NEGATIVE_INFINITY;

  const check = async (): Promise<void> => {
    if (isChecking || clock.monotonic() < mayCheckAt) return;
    isChecking = true;
    const isDone = await operator.feed.check();
    isChecking = false;
    failures = isDone ? 0 : failures + 1;
    if (!isDone) failedAt = clock.monotonic();
    const { first, longest } = ownReadRetryDelays;
    const delay = isDone ? 0 : Math.min(longest, first * 2 ** (failures - 1)) * (0.5 + random() / 2);
    mayCheckAt = clock.monotonic() + delay;
  };

  const sendQuery = (): void => {
    const readers = dependencies.readers();
    const reader = readers[readerIndex % Math.max(1, readers.length)];
    if (reader === undefined) return;
    number += 1;
    askedAt = clock.monotonic();
    pending = { number, askedAt };
    link.send(reader.at, encodeProofMessage({ kind: "question", number }));
  };

  /** @returns Whether the reader's proof holds for this router too. */
  const applyProof = (records: FollowedRecords, { position, age }: ReadProgress, since: number): boolean => {
    const known = records.feed.position();
    if (known?.epoch !== position.epoch || known.isBefore(position)) return false;
    records.confirm(since - age);
    return true;
  };

  const applyAnswer = (answer: ProofAnswer): void => {
    if (pending?.number !== answer.number) return;
    const since = pending.askedAt;
    pending = undefined;
    if (!applyProof(operator, answer.operator, since)) void check();
    if (!applyProof(replicas, answer.replicas, since)) replicas.feed.readNow();
  };

  const progressOf = ({ lastChangePosition, age }: FollowedRecords): ReadProgress | undefined => {
    const since = age();
    const position = lastChangePosition();
    return position === undefined || !Number.isFinite(since)
      ? undefined
      : { position, age: Math.ceil(since) };
  };

  const answer = (asked: number): Buffer | undefined => {
    const progress = { operator: progressOf(operator), replicas: progressOf(replicas) };
    if (progress.operator === undefined || progress.replicas === undefined) return undefined;
    const { operator: operatorProgress, replicas: replicasProgress } = progress;
    return encodeProofMessage({
      kind: "answer",
      number: asked,
      operator: operatorProgress,
      replicas: replicasProgress,
    });
  };

  link.receive((datagram, from) => {
    const message = decodeProofMessage(datagram);
    if (message?.kind === "answer") applyAnswer(message);
    if (message?.kind !== "question") return;
    const reply = answer(message.number);
    if (reply !== undefined) link.send(from, reply);
  });

  const queryIfDue = (): void => {
    const since = clock.monotonic() - askedAt;
    const isTimedOut = pending !== undefined && since >= proofTimeout;
    if (isTimedOut) readerIndex += 1;
    const interval = Math.min(proofInterval.longest, bounds.drain * proofInterval.drainShare);
    if (isTimedOut || since >= interval) sendQuery();
  };

  const readRegistry = (): void => {
    // If the router's own reads of the operator's records fail, a read of the registry would fail too.
    const interval = failures > 0 ? ownReadRetryDelays.longest : ownRegistryReadInterval;
    if (clock.monotonic() - registryReadAt < interval) return;
    registryReadAt = clock.monotonic();
    replicas.feed.readNow();
  };

  const checkFreshness = (): void => {
    cancel = clock.after(freshnessCheckInterval, checkFreshness);
    if (!dependencies.isEnabled()) return;
    const isReader = dependencies.isReader();
    const registryShare = isReader ? readerRegistryAgeShare : ownRegistryAgeShare;
    if (replicas.age() > bounds.drain * registryShare) readRegistry();
    if (isReader) {
      if (dependencies.readAge() > bounds.keyRevocation * readerReadAgeShare) void check();
      return;
    }
    queryIfDue();
    if (operator.age() > bounds.keyRevocation * ownReadAgeShare) void check();
  };
  let cancel = clock.after(random() * freshnessCheckInterval, checkFreshness);

  return {
    requestRead: () => void check(),
    reachesStore: () =>
      failures < failuresUntilUnreachable || dependencies.readAge() < clock.monotonic() - failedAt,
    [Symbol.asyncDispose]: () => {
      cancel();
      return Promise.resolve();
    },
  };
};
