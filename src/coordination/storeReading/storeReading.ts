/**
 * Where there are many routers, a few of each data centre read the platform's store for the others, which ask them
 * how far they have read and how long ago. Who is told nothing in time reads for itself.
 *
 * What is proved is exact: an answer is counted from when its question was sent, less the age that the reader gives,
 * and holds only for a router that has itself applied all records up to the reader's offset.
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
  freshnessInterval,
  ownReadAgeShare,
  ownReadDelays,
  ownRegistryAgeShare,
  failuresOutOfReach,
  hurryInterval,
  proofInterval,
  proofPatience,
  readerAgeShare,
  readerRegistryAgeShare,
} from "./constants.ts";

/** One kind of records, as a router knows them. */
export interface FollowedRecords {
  readonly feed: Pick<FeedFollower, "position" | "check" | "hurry">;
  /** @returns The position after the last record that changed something; nothing before the first read of an epoch. */
  readonly lastChangePosition: () => StorePosition | undefined;
  /** @returns Milliseconds since everything written before then was known. */
  readonly age: () => number;
  /** Everything written before a moment is known. */
  readonly confirm: (at: number) => void;
}

/** What reading works with. */
export interface StoreReadingDependencies {
  readonly link: DatagramLink;
  readonly clock: Clock;
  readonly bounds: Pick<ForwardingBounds, "keyRevocation" | "drain">;
  /** Whether there are so many routers that some read for others. */
  readonly isEnabled: () => boolean;
  /** Whether this router reads for others. */
  readonly isReader: () => boolean;
  /** @returns The routers of the data centre that read for others. */
  readonly readers: () => readonly Peer[];
  /** Milliseconds since the last read of the operator's records by this router itself was sent. */
  readonly readAge: () => number;
  readonly operator: FollowedRecords;
  readonly replicas: FollowedRecords;
  /** A number from 0 to 1. */
  readonly random: () => number;
}

interface Question {
  readonly number: number;
  readonly askedAt: number;
}

/** Question numbers of a process begin somewhere below this one. */
const numberOrigins = 2 ** 40;

/** See {@link startStoreReading}. */
export interface StoreReading extends AsyncDisposable {
  /** Whether this router's own reads reach the store, as far as it has tried. */
  readonly reachesStore: () => boolean;
  /**
   * There is something newer than what is known. Read at once, but no sooner after reads that failed than other reads:
   * every message of every peer says so, and a store that turns this router away was asked several times a second.
   */
  readonly requestRead: () => void;
}

/** Keeps what is known fresh until it is disposed of. */
export const startStoreReading = (parts: StoreReadingDependencies): StoreReading => {
  const { link, clock, bounds, operator, replicas, random } = parts;
  let number = Math.floor(random() * numberOrigins);
  let question: Question | undefined;
  let askedAt = Number.NEGATIVE_INFINITY;
  let turnOfReader = 0;
  let isChecking = false;
  let mayCheckAt = Number.NEGATIVE_INFINITY;
  let failures = 0;
  let failedAt = Number.NEGATIVE_INFINITY;
  let hurriedAt = Number.NEGATIVE_INFINITY;

  const check = async (): Promise<void> => {
    if (isChecking || clock.monotonic() < mayCheckAt) return;
    isChecking = true;
    const isDone = await operator.feed.check();
    isChecking = false;
    failures = isDone ? 0 : failures + 1;
    if (!isDone) failedAt = clock.monotonic();
    const { first, longest } = ownReadDelays;
    const delay = isDone ? 0 : Math.min(longest, first * 2 ** (failures - 1)) * (0.5 + random() / 2);
    mayCheckAt = clock.monotonic() + delay;
  };

  const ask = (): void => {
    const readers = parts.readers();
    const reader = readers[turnOfReader % Math.max(1, readers.length)];
    if (reader === undefined) return;
    number += 1;
    askedAt = clock.monotonic();
    question = { number, askedAt };
    link.send(reader.at, encodeProofMessage({ kind: "question", number }));
  };

  /** @returns Whether the reader's proof holds for this router too. */
  const takeProof = (records: FollowedRecords, { position, age }: ReadProgress, since: number): boolean => {
    const known = records.feed.position();
    if (known?.epoch !== position.epoch || known.isBefore(position)) return false;
    records.confirm(since - age);
    return true;
  };

  const takeAnswer = (answer: ProofAnswer): void => {
    if (question?.number !== answer.number) return;
    const since = question.askedAt;
    question = undefined;
    if (!takeProof(operator, answer.operator, since)) void check();
    if (!takeProof(replicas, answer.replicas, since)) replicas.feed.readNow();
  };

  const progressOf = ({ lastChangePosition: changedAt, age }: FollowedRecords): ReadProgress | undefined => {
    const since = age();
    const position = changedAt();
    return position === undefined || !Number.isFinite(since)
      ? undefined
      : { position, age: Math.ceil(since) };
  };

  const answer = (asked: number): Buffer | undefined => {
    const progress = { operator: progressOf(operator), replicas: progressOf(replicas) };
    if (progress.operator === undefined || progress.replicas === undefined) return undefined;
    const { operator: ofOperator, replicas: ofReplicas } = progress;
    return encodeProofMessage({ kind: "answer", number: asked, operator: ofOperator, replicas: ofReplicas });
  };

  link.receive((datagram, from) => {
    const message = decodeProofMessage(datagram);
    if (message?.kind === "answer") takeAnswer(message);
    if (message?.kind !== "question") return;
    const datagramBack = answer(message.number);
    if (datagramBack !== undefined) link.send(from, datagramBack);
  });

  const askIfDue = (): void => {
    const since = clock.monotonic() - askedAt;
    const isSilent = question !== undefined && since >= proofPatience;
    if (isSilent) turnOfReader += 1;
    const interval = Math.min(proofInterval.longest, bounds.drain * proofInterval.drainShare);
    if (isSilent || since >= interval) ask();
  };

  const hurryRegistry = (): void => {
    // Where the router's own reads fail, this one would too.
    const interval = failures > 0 ? ownReadDelays.longest : hurryInterval;
    if (clock.monotonic() - hurriedAt < interval) return;
    hurriedAt = clock.monotonic();
    replicas.feed.readNow();
  };

  const look = (): void => {
    callOff = clock.after(freshnessInterval, look);
    if (!parts.isEnabled()) return;
    const isReader = parts.isReader();
    const registryShare = isReader ? readerRegistryAgeShare : ownRegistryAgeShare;
    if (replicas.age() > bounds.drain * registryShare) hurryRegistry();
    if (isReader) {
      if (parts.readAge() > bounds.keyRevocation * readerAgeShare) void check();
      return;
    }
    askIfDue();
    if (operator.age() > bounds.keyRevocation * ownReadAgeShare) void check();
  };
  let callOff = clock.after(random() * freshnessInterval, look);

  return {
    requestRead: () => void check(),
    reachesStore: () => failures < failuresOutOfReach || parts.readAge() < clock.monotonic() - failedAt,
    [Symbol.asyncDispose]: () => {
      callOff();
      return Promise.resolve();
    },
  };
};
