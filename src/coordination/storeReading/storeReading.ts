/**
 * In a large deployment a few routers of each data centre, the readers, read the platform's store for the others,
 * which query them how far they have read and how long ago. A router without a timely answer reads for itself.
 *
 * An answer is a proof that nothing newer had been published at a given time: the time at which the query was
 * sent, less the age that the reader reports. It is valid only for a router that has itself applied all records up to
 * the reader's position. The answer hands over records that the asking router lacks, if they are few and small.
 */
import type { DatagramLink } from "../../protocol/forwarding/DatagramLink.ts";
import type {
  KnownPositions,
  ProofAnswer,
  ProofQuestion,
  ReadProgress,
} from "../../protocol/forwarding/proofMessage.ts";
import { decodeProofMessage, encodeProofMessage } from "../../protocol/forwarding/proofMessage.ts";
import type { OperatorRecord, ReplicaEntry } from "../../protocol/forwarding/types.ts";
import type { StorePosition } from "../../protocol/StorePosition.ts";
import type { Clock } from "../clock.ts";
import type { Peer } from "../forwarding/peerTable.ts";
import type { ForwardingBounds } from "../forwarding/types.ts";
import {
  announcedQueryInterval,
  freshnessCheckInterval,
  ownReadAgeShare,
  ownReadRetryDelays,
  ownRegistryAgeShare,
  failuresUntilUnreachable,
  ownRegistryReadInterval,
  proofInterval,
  proofTimeout,
  readerReadAgeShare,
  readerQueryAgeShare,
  readerRegistryAgeShare,
  storeReaderCount,
  staleAnswerShares,
} from "./constants.ts";
import { createAnnouncedReads } from "./announcedReads.ts";
import type { FollowedRecords } from "./proofAnswer.ts";
import { createProofAnswer, knownPosition } from "./proofAnswer.ts";
import { runInBackground } from "../../state/backgroundTasks.ts";

export interface StoreReadingDependencies {
  readonly link: DatagramLink;
  readonly clock: Clock;
  readonly bounds: Pick<ForwardingBounds, "keyRevocation" | "drain">;
  /** @returns Whether there are enough routers for some to read for others. */
  readonly isEnabled: () => boolean;
  /** @returns Whether this router reads for others. */
  readonly isReader: () => boolean;
  /** @returns Whether this router is the first reader, which reads the registry regularly; `true` if absent. */
  readonly isFirstReader?: () => boolean;
  /** @returns The other readers of this router's data centre, the first reader first. */
  readonly readers: () => readonly Peer[];
  /** @returns Milliseconds since this router's own last successful read of the operator's records was sent. */
  readonly readAge: () => number;
  readonly operator: FollowedRecords<OperatorRecord>;
  readonly replicas: FollowedRecords<ReplicaEntry>;
  /** Called if no newer record is known some time after a peer has announced one. */
  readonly onUnresolved?: () => void;
  /** @returns A number from 0 to 1. */
  readonly random: () => number;
}

interface Question extends Pick<ProofQuestion, "number" | "known"> {
  readonly askedAt: number;
}

/** Each process numbers its queries from a random start below this bound. */
const firstNumberBound = 2 ** 40;

export interface StoreReading extends AsyncDisposable {
  /** @returns Whether this router's own reads reach the store, as far as it has tried. */
  readonly reachesStore: () => boolean;
  /**
   * Gets newer records that a peer has announced: from a reader, or for a reader by its open long poll, and if none
   * has arrived after a short time by a read. After failed reads the next one waits for the retry delay. Every message
   * of every peer announces the records, so a store that rejects this router would otherwise get several reads a
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
  let readerIndex = Math.floor(random() * storeReaderCount);
  let isChecking = false;
  let mayCheckAt = Number.NEGATIVE_INFINITY;
  let failures = 0;
  let failedAt = Number.NEGATIVE_INFINITY;
  let registryReadAt = Number.NEGATIVE_INFINITY;
  let wasReader = true;

  const check = async (): Promise<void> => {
    if (isChecking || clock.monotonic() < mayCheckAt) return;
    isChecking = true;
    const isDone = await operator.feed.check().finally(() => (isChecking = false));
    failures = isDone ? 0 : failures + 1;
    if (!isDone) failedAt = clock.monotonic();
    const { first, longest } = ownReadRetryDelays;
    const delay = isDone ? 0 : Math.min(longest, first * 2 ** (failures - 1)) * (0.5 + random() / 2);
    mayCheckAt = clock.monotonic() + delay;
  };

  const checkInBackground = (): void => runInBackground("readOperatorRecords", check);

  const knownPositions = (): KnownPositions | undefined => {
    const known = { operator: knownPosition(operator), replicas: knownPosition(replicas) };
    return known.operator === undefined || known.replicas === undefined
      ? undefined
      : { operator: known.operator, replicas: known.replicas };
  };

  /** Readers query the first one; the queries of the others are spread over all readers. */
  const sendQuery = (): void => {
    const readers = dependencies.readers();
    const reader = dependencies.isReader() ? readers[0] : readers[readerIndex % Math.max(1, readers.length)];
    if (reader === undefined) return;
    number += 1;
    askedAt = clock.monotonic();
    const known = knownPositions();
    const question = { number, ...(known === undefined ? {} : { known }) };
    pending = { ...question, askedAt };
    link.send(reader.at, encodeProofMessage({ kind: "question", ...question }));
  };

  /** @returns Whether the reader's proof holds for this router too. */
  const applyProof = <T>(
    records: FollowedRecords<T>,
    { position, age, records: handed }: ReadProgress<T>,
    asked: StorePosition | undefined,
    since: number,
  ): boolean => {
    if (asked !== undefined && handed !== undefined) records.handOver?.receive(asked, position, handed);
    const known = knownPosition(records);
    if (known?.epoch !== position.epoch || known.isBefore(position)) return false;
    records.confirm(since - age);
    return true;
  };

  const isStale = ({ operator: ofOperator, replicas: ofReplicas }: ProofAnswer): boolean =>
    ofOperator.age > bounds.keyRevocation * staleAnswerShares.operator ||
    ofReplicas.age > bounds.drain * staleAnswerShares.registry;

  const applyAnswer = (answer: ProofAnswer): void => {
    if (pending?.number !== answer.number) return;
    const { askedAt: since, known } = pending;
    pending = undefined;
    if (isStale(answer)) readerIndex += 1;
    if (!applyProof(operator, answer.operator, known?.operator, since)) checkInBackground();
    if (!applyProof(replicas, answer.replicas, known?.replicas, since)) replicas.feed.readNow();
  };

  link.receive((datagram, from) => {
    const message = decodeProofMessage(datagram);
    if (message?.kind === "answer") applyAnswer(message);
    if (message?.kind !== "question") return;
    const reply = createProofAnswer(message, operator, replicas);
    if (reply !== undefined) link.send(from, encodeProofMessage(reply));
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

  /** A router that becomes a reader must not wait for the end of the long interval between its own reads. */
  const noteRole = (isReader: boolean): void => {
    if (isReader && !wasReader) operator.feed.readNow();
    wasReader = isReader;
  };

  const checkInterval = (): number =>
    Math.min(freshnessCheckInterval.longest, bounds.drain * freshnessCheckInterval.drainShare);

  const checkFreshness = (): void => {
    cancel = clock.after(checkInterval(), checkFreshness);
    if (!dependencies.isEnabled()) return;
    const isReader = dependencies.isReader();
    noteRole(isReader);
    const registryShare = isReader ? readerRegistryAgeShare : ownRegistryAgeShare;
    if (replicas.age() > bounds.drain * registryShare) readRegistry();
    if (isReader) {
      const isFirst = dependencies.isFirstReader?.() ?? true;
      if (!isFirst && replicas.age() > bounds.drain * readerQueryAgeShare) sendQuery();
      if (dependencies.readAge() > bounds.keyRevocation * readerReadAgeShare) checkInBackground();
      return;
    }
    queryIfDue();
    if (operator.age() > bounds.keyRevocation * ownReadAgeShare) checkInBackground();
  };
  let cancel = clock.after(random() * checkInterval(), checkFreshness);

  const announced = createAnnouncedReads({
    clock,
    known: () => knownPosition(operator),
    query: () => {
      const isDue = pending === undefined && clock.monotonic() - askedAt >= announcedQueryInterval;
      if (isDue && !dependencies.isReader()) sendQuery();
    },
    onUnresolved: () => {
      dependencies.onUnresolved?.();
      checkInBackground();
    },
  });

  return {
    requestRead: announced.request,
    reachesStore: () =>
      failures < failuresUntilUnreachable || dependencies.readAge() < clock.monotonic() - failedAt,
    [Symbol.asyncDispose]: () => {
      cancel();
      announced.stop();
      return Promise.resolve();
    },
  };
};
