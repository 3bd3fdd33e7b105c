/**
 * Quarantines requests that crash the replicas that run them, whichever router and request id they come with.
 *
 * The load pattern behind it: a caller repeats the same request; each run ends a process, together with all streams
 * that it served. Routers notify one another which requests were in flight at each crash. A request that was in
 * flight at crashes of three different replicas, and has been answered nowhere since, is sent to no replica any more.
 * Where several requests were in flight at the same replicas, only the likeliest cause is quarantined, and its
 * crashes count against no other. Any complete answer clears a request at once, so that popular requests, in flight
 * at every crash, are cleared by their next answer at any router. A request that was quarantined by chance is
 * released by a trial, which a single router makes. The platform's store keeps the decisions.
 */
import type { DatagramLink } from "../../protocol/forwarding/DatagramLink.ts";
import type { CrashMessage, ReplicaCrash } from "../../protocol/forwarding/crashMessage.ts";
import type { Fingerprint } from "../../protocol/forwarding/fingerprint.ts";
import { fingerprintOf } from "../../protocol/forwarding/fingerprint.ts";
import type { EpochSource } from "../../protocol/storeEpoch.ts";
import type { RecordFeed } from "../../protocol/forwarding/RecordFeed.ts";
import type { CallerRequest, QuarantineRecord } from "../../protocol/forwarding/types.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import type { LiveRouter } from "../replicaOwners/owners.ts";
import { decisionDelay, undecidedRetryAfter } from "./constants.ts";
import { createCrashEvidence } from "./crashEvidence.ts";
import { createCrashUpdates } from "./crashUpdates.ts";
import { createQuarantinedRequests } from "./quarantinedRequests.ts";
import { createQuarantineRecords } from "./quarantineRecords.ts";
import { createDigestCheck } from "./digestCheck.ts";
import { startRecordsMaintenance } from "./recordsMaintenance.ts";
import { createTrials } from "./trials.ts";

/** Identifies the requests of one kind. */
export interface RequestIdentity<Request> {
  readonly fingerprintOf: (request: Request) => Fingerprint;
  /** @returns The request id, for the log; a retry of the caller may have another one. */
  readonly idOf: (request: Request) => string;
}

/** Identifies requests that are forwarded. */
const callerRequests: RequestIdentity<CallerRequest> = { fingerprintOf, idOf: ({ id }) => id };

export interface QuarantineDependencies {
  readonly link: DatagramLink;
  readonly clock: Clock;
  readonly feed: RecordFeed<QuarantineRecord>;
  readonly epochs: EpochSource;
  /** @returns The other routers that may be serving, unreachable ones included. */
  readonly others: () => readonly Pick<LiveRouter, "at">[];
  /** @returns A number from 0 to 1. */
  readonly random: () => number;
}

/** The view of a quarantine that request handling has. */
export interface QuarantineChecks<Request extends object = CallerRequest> {
  /** @returns Whether a request must not be sent to a replica now. */
  readonly isQuarantined: (request: Request) => boolean;
  /**
   * Decides whether a request may be sent. If it is quarantined and a trial is due, this router may claim the trial.
   *
   * @returns Milliseconds after which the caller should retry; `undefined` if the request may be sent.
   */
  readonly admit: (request: Request) => Promise<number | undefined> | undefined;
  /** @returns Milliseconds after which the caller of a quarantined request should retry. */
  readonly comeBackAfter: (request: Request) => number;
  /** Records that a replica has answered a request completely. */
  readonly noteAnswered: (request: Request) => void;
  /** Records that an attempt failed after it was sent, which ends a trial. */
  readonly noteFailed: (request: Request) => void;
  /** Records that a replica crashed with requests of this router in flight. */
  readonly noteCrash: (crash: ReplicaCrash) => void;
}

/** Lets peers detect that their quarantines differ. */
export interface QuarantineDigests {
  /** @returns The digest of this router's quarantined requests; 0 if there are none. */
  readonly digest: () => number;
  /** Records the digest of a peer's quarantined requests. */
  readonly notePeerDigest: (digest: number) => void;
}

export interface Quarantine<Request extends object = CallerRequest>
  extends QuarantineChecks<Request>, QuarantineDigests, AsyncDisposable {
  /** @returns Whether the store's records have been read, or the timeout of the first read has passed. */
  readonly isReady: () => boolean;
}

/** A quarantine that never contains a request. */
export const noQuarantine: QuarantineChecks<object> & QuarantineDigests = {
  digest: () => 0,
  notePeerDigest: () => undefined,
  isQuarantined: () => false,
  admit: () => undefined,
  comeBackAfter: () => 0,
  noteAnswered: () => undefined,
  noteFailed: () => undefined,
  noteCrash: () => undefined,
};

/** Why a request was quarantined: by this router's evidence, a peer's announcement, or a record in the store. */
type QuarantineReason = "crashes" | "told" | "recorded";

/** Why a request was released: an answer here, a peer's announcement, the store's records, or the end of its time. */
type ReleaseReason = "answered" | "told" | "recorded" | "lapsed";

const writeLog = createLogger("quarantine");

/**
 * Creates a quarantine of forwarded requests, which exchanges updates with peers and the store until it is disposed
 * of.
 */
export const createQuarantine = (dependencies: QuarantineDependencies): Quarantine =>
  createQuarantineFor(dependencies, callerRequests);

/**
 * Creates a quarantine of requests of any kind, such as completions, which exchanges updates with peers and the store
 * until it is disposed of.
 */
export const createQuarantineFor = <Request extends object>(
  dependencies: QuarantineDependencies,
  identity: RequestIdentity<Request>,
): Quarantine<Request> => {
  const { clock, random } = dependencies;
  const quarantined = createQuarantinedRequests(clock);
  const evidence = createCrashEvidence(quarantined.has);
  const fingerprints = new WeakMap<Request, Fingerprint>();
  let cancelDecision: (() => void) | undefined;

  const fingerprintFor = (request: Request): Fingerprint => {
    const known = fingerprints.get(request);
    if (known !== undefined) return known;
    const fingerprint = identity.fingerprintOf(request);
    fingerprints.set(request, fingerprint);
    return fingerprint;
  };

  const add = (fingerprint: Fingerprint, why: QuarantineReason): void => {
    if (!quarantined.add(fingerprint, evidence.isOwn(fingerprint))) return;
    maintenance.cancelDrop(fingerprint);
    writeLog("held", { held: fingerprint, crashes: evidence.crashesOf(fingerprint), why });
  };

  const decide = (): void => {
    cancelDecision = undefined;
    for (let cause = evidence.likeliestCause(); cause !== undefined; cause = evidence.likeliestCause()) {
      const isOwn = evidence.isOwn(cause);
      add(cause, "crashes");
      // Only routers that had the request in flight announce and record it: all routers decide at once, and if each of
      // 195 announced and recorded it, one request would cost 75,000 messages.
      if (!isOwn) continue;
      updates.announceQuarantined(cause);
      void records.write(cause);
    }
  };

  const decideSoon = (): void => {
    cancelDecision ??= clock.after(decisionDelay, decide);
  };

  const release = (fingerprint: Fingerprint, why: ReleaseReason): void => {
    evidence.clear(fingerprint);
    if (!quarantined.has(fingerprint)) return;
    quarantined.remove(fingerprint);
    writeLog("released", { held: fingerprint, why });
    // The crashes that this request explained have another cause.
    decideSoon();
  };

  /** Releases a request and drops its record in the store. */
  const releaseAndDrop = (fingerprint: Fingerprint, why: ReleaseReason): void => {
    if (quarantined.has(fingerprint)) maintenance.drop(fingerprint);
    release(fingerprint, why);
  };

  const records = createQuarantineRecords({
    feed: dependencies.feed,
    epochs: dependencies.epochs,
    requests: quarantined,
    onQuarantined: (fingerprint, record, epoch) => {
      // Released here, and the record is still to be dropped from the store.
      if (maintenance.isDropping(fingerprint)) return;
      add(fingerprint, "recorded");
      quarantined.applyRecord(fingerprint, record, epoch);
    },
    onReleased: (fingerprint) => release(fingerprint, "recorded"),
  });
  const maintenance = startRecordsMaintenance({
    requests: quarantined,
    records,
    clock,
    epochs: dependencies.epochs,
    onExpired: (each) => releaseAndDrop(each, "lapsed"),
  });
  const digestCheck = createDigestCheck({ clock, random, digest: quarantined.digest, read: records.read });
  const trials = createTrials({ requests: quarantined, records, clock, idOf: identity.idOf });

  const isUndecided = (fingerprint: Fingerprint): boolean =>
    !quarantined.has(fingerprint) && evidence.isCause(fingerprint);

  const noteEvidence = ({ replica, suspects }: ReplicaCrash, isOwn: boolean): void => {
    evidence.note(replica, suspects, isOwn);
    if (suspects.some(({ fingerprint }) => isUndecided(fingerprint))) decideSoon();
  };

  const applyMessage = (message: CrashMessage): void => {
    if (message.kind === "crash") for (const each of message.crashes) noteEvidence(each, false);
    else if (message.kind === "held") for (const each of message.fingerprints) add(each, "told");
    else for (const each of message.fingerprints) release(each, "told");
  };
  const updates = createCrashUpdates({ ...dependencies, onMessage: applyMessage });

  const isQuarantined = (request: Request): boolean => {
    if (quarantined.size() === 0 && cancelDecision === undefined) return false;
    const fingerprint = fingerprintFor(request);
    return (quarantined.has(fingerprint) || isUndecided(fingerprint)) && !trials.has(request);
  };

  const comeBackAfter = (request: Request): number =>
    Math.max(undecidedRetryAfter, quarantined.untilChange(fingerprintFor(request)));

  const admitLater = async (request: Request): Promise<number | undefined> => {
    await maintenance.ready;
    if (!isQuarantined(request) || (await trials.claim(request, fingerprintFor(request)))) return undefined;
    return isQuarantined(request) ? comeBackAfter(request) : undefined;
  };

  return {
    isReady: maintenance.isReady,
    digest: quarantined.digest,
    notePeerDigest: digestCheck.notePeerDigest,
    isQuarantined,
    comeBackAfter,
    admit: (request) => (maintenance.isReady() && !isQuarantined(request) ? undefined : admitLater(request)),
    noteAnswered: (request) => {
      if (evidence.isEmpty() && quarantined.size() === 0) return;
      const fingerprint = fingerprintFor(request);
      if (!evidence.isSuspected(fingerprint) && !quarantined.has(fingerprint)) return;
      releaseAndDrop(fingerprint, "answered");
      updates.announceAnswered(fingerprint);
    },
    noteFailed: trials.end,
    noteCrash: (crash) => {
      noteEvidence(crash, true);
      updates.announceCrash(crash);
    },
    [Symbol.asyncDispose]: async () => {
      cancelDecision?.();
      await updates[Symbol.asyncDispose]();
      await maintenance[Symbol.asyncDispose]();
    },
  };
};
