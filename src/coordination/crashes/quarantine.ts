/**
 * Quarantines requests that crash the replicas that run them, whichever router and request id they come with.
 *
 * The load pattern behind it: requests that have something in common come again and again; each run ends a process,
 * together with all streams that it served. What they have in common may be their whole content, one part of their
 * prompt, or their model or size: each is a trait, and all are judged alike. Routers notify one another which traits
 * were in flight at each crash. A trait that was in flight at crashes of several replicas, and has been answered nowhere
 * since, is sent to no replica any more. Where several traits were in flight at the same replicas, only the likeliest
 * cause is quarantined, and its crashes count against no other. Any complete answer clears all traits of its request,
 * so that popular ones, in flight at every crash, are cleared by their next answer at any router. A trait that was
 * quarantined by chance is released by a trial, which a single router makes, or once another trait turns out to explain
 * all its crashes. The platform's store keeps the decisions.
 */
import type { DatagramAddress, DatagramLink } from "../../protocol/forwarding/DatagramLink.ts";
import type { CrashMessage, ReplicaCrash, Suspect } from "../../protocol/forwarding/crashMessage.ts";
import type { Fingerprint } from "../../protocol/forwarding/fingerprint.ts";
import type { RequestTrait } from "../../protocol/forwarding/requestTrait.ts";
import type { EpochSource } from "../../protocol/storeEpoch.ts";
import type { RecordFeed } from "../../protocol/forwarding/RecordFeed.ts";
import type { CallerRequest, QuarantineRecord } from "../../protocol/forwarding/types.ts";
import { createBoundedMap } from "../../state/boundedMap.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import type { LiveRouter } from "../replicaOwners/owners.ts";
import type { OwnCrash } from "./brokenRequests.ts";
import { suspectsOf } from "./brokenRequests.ts";
import { decisionDelay, maxSuspects } from "./constants.ts";
import { createCrashEvidence } from "./crashEvidence.ts";
import { createCrashUpdates } from "./crashUpdates.ts";
import { createRequestChecks } from "./requestChecks.ts";
import type { RecentAnswers } from "./recentAnswers.ts";
import { createRecentAnswers } from "./recentAnswers.ts";
import { sharedTraitsOfRequest, traitsOfRequest } from "./requestTraits.ts";
import { createQuarantinedTraits } from "./quarantinedTraits.ts";
import { createQuarantineRecords } from "./quarantineRecords.ts";
import { createDigestCheck } from "./digestCheck.ts";
import { startRecordsMaintenance } from "./recordsMaintenance.ts";
import { createTrials } from "./trials.ts";
import { runInBackground } from "../../state/backgroundTasks.ts";

/** Identifies the requests of one kind. */
export interface RequestIdentity<Request> {
  /** @returns The traits of a request, its whole content first. */
  readonly traitsOf: (request: Request) => readonly RequestTrait[];
  /** @returns The traits that other requests may have as well; cheap, since it is called for each answer. */
  readonly sharedTraitsOf: (request: Request) => readonly RequestTrait[];
  /** @returns The request id, for the log; a retry of the caller may have another one. */
  readonly idOf: (request: Request) => string;
}

/** Identifies requests that are forwarded. */
const callerRequests: RequestIdentity<CallerRequest> = {
  traitsOf: traitsOfRequest,
  sharedTraitsOf: sharedTraitsOfRequest,
  idOf: ({ id }) => id,
};

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
  /**
   * Records that a replica has answered a request completely.
   *
   * @param isSuccess - False for an error of the replica, which may precede the work on the prompt: it shows nothing
   * about the traits that other requests have as well.
   */
  readonly noteAnswered: (request: Request, isSuccess: boolean) => void;
  /** Records that an attempt failed after it was sent, which ends a trial. */
  readonly noteFailed: (request: Request) => void;
  /** Records that a replica crashed with requests of this router in flight. */
  readonly noteCrash: (crash: OwnCrash) => void;
  /** @returns Whether a request has a trait that was in flight at a crash, and was answered nowhere since. */
  readonly isSuspected: (request: Request) => boolean;
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
  isSuspected: () => false,
};

/** Why a trait was quarantined: by this router's evidence, a peer's announcement, or a record in the store. */
type QuarantineReason = "crashes" | "told" | "recorded";

/**
 * Why a trait was released: an answer here, a peer's announcement, the store's records, the end of its time, or another
 * trait that explains all its crashes.
 */
type ReleaseReason = "answered" | "told" | "recorded" | "lapsed" | "explained";

const writeLog = createLogger("quarantine");

/** @returns The traits that an answer clears. */
const answeredTraits = (traits: readonly RequestTrait[], isSuccess: boolean): readonly Fingerprint[] =>
  traits.filter(({ kind }) => isSuccess || kind === "content").map(({ fingerprint }) => fingerprint);

/** This router's own answers prove a trait as much as those of the router that saw the crash. */
const withOwnAnswers = (suspect: Suspect, answers: RecentAnswers): Suspect => ({
  ...suspect,
  isProven: suspect.isProven || answers.has(suspect.fingerprint),
});

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
  const quarantined = createQuarantinedTraits(clock);
  const evidence = createCrashEvidence(quarantined.has);
  const answers = createRecentAnswers(clock);
  /** Traits by fingerprint, of requests that this router had in flight at a crash. */
  const knownTraits = createBoundedMap<RequestTrait>(maxSuspects);
  let cancelDecision: (() => void) | undefined;

  /** Releases traits that were quarantined since they were in flight beside the cause. */
  const releaseExplained = (cause: Fingerprint): void => {
    for (const fingerprint of evidence.explainedBy(cause)) {
      if (evidence.isOwn(fingerprint)) maintenance.drop(fingerprint);
      quarantined.remove(fingerprint);
      writeLog("released", { held: fingerprint, why: "explained" satisfies ReleaseReason });
    }
  };

  const add = (trait: RequestTrait, why: QuarantineReason): void => {
    const { fingerprint, kind, name } = trait;
    if (!quarantined.add(trait, evidence.isOwn(fingerprint))) return;
    maintenance.cancelDrop(fingerprint);
    writeLog("held", { held: fingerprint, kind, name, crashes: evidence.crashesOf(fingerprint), why });
    releaseExplained(fingerprint);
  };

  /** Only routers that had the trait in flight know its name; it is decided, announced and recorded by them. */
  const decide = (): void => {
    cancelDecision = undefined;
    for (let cause = evidence.likeliestCause(); cause !== undefined; cause = evidence.likeliestCause()) {
      const trait = knownTraits.get(cause) ?? { fingerprint: cause, kind: evidence.kindOf(cause), name: "" };
      add(trait, "crashes");
      // If each of 195 routers announced and recorded it, one cause would cost 75,000 messages.
      if (!evidence.isOwn(cause)) continue;
      updates.announceQuarantined(trait);
      runInBackground("recordQuarantine", () => records.write(cause), cause);
    }
  };

  const decideSoon = (): void => {
    cancelDecision ??= clock.after(decisionDelay, decide);
  };

  const release = (fingerprint: Fingerprint, why: ReleaseReason): void => {
    if (why === "lapsed") evidence.forgetCrashes(fingerprint);
    else evidence.clear(fingerprint);
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

  const queryPeers = (): void => updates.query();
  const records = createQuarantineRecords({
    feed: dependencies.feed,
    epochs: dependencies.epochs,
    quarantined,
    onQuarantined: (fingerprint, record, epoch) => {
      // Released here, and the record is still to be dropped from the store.
      if (maintenance.isDropping(fingerprint)) return;
      add({ fingerprint, kind: record.kind, name: record.name }, "recorded");
      quarantined.applyRecord(fingerprint, record, epoch);
    },
    onReleased: (fingerprint) => release(fingerprint, "recorded"),
  });
  const maintenance = startRecordsMaintenance({
    quarantined,
    records,
    clock,
    epochs: dependencies.epochs,
    queryPeers,
    onExpired: (each) => releaseAndDrop(each, "lapsed"),
  });
  const { digest } = quarantined;
  const digestCheck = createDigestCheck({ clock, random, digest, read: records.read, queryPeers });
  const trials = createTrials({ quarantined, records, clock, idOf: identity.idOf });

  const noteEvidence = ({ replica, suspects }: ReplicaCrash, isOwn: boolean): void => {
    const known = suspects.map((suspect) => withOwnAnswers(suspect, answers));
    evidence.note(replica, known, clock.monotonic(), isOwn);
    if (suspects.some(({ fingerprint }) => evidence.isUndecided(fingerprint))) decideSoon();
  };

  const applyMessage = (message: CrashMessage, from: DatagramAddress): void => {
    if (message.kind === "crash") for (const each of message.crashes) noteEvidence(each, false);
    else if (message.kind === "held") for (const each of message.traits) add(each, "told");
    else if (message.kind === "answered") for (const each of message.fingerprints) release(each, "told");
    else updates.sendQuarantined(from, quarantined.traits());
  };
  const updates = createCrashUpdates({ ...dependencies, onMessage: applyMessage });

  const { isQuarantined, comeBackAfter, claimTrial } = createRequestChecks({
    identity,
    quarantined,
    evidence,
    trials,
    isDeciding: () => cancelDecision !== undefined,
  });

  const admitLater = async (request: Request): Promise<number | undefined> => {
    await maintenance.ready;
    if (!isQuarantined(request) || (await claimTrial(request))) return undefined;
    return isQuarantined(request) ? comeBackAfter(request) : undefined;
  };

  const noteAnswered = (request: Request, isSuccess: boolean): void => {
    if (isSuccess) answers.note(identity.sharedTraitsOf(request));
    if (evidence.isEmpty() && quarantined.size() === 0) return;
    for (const fingerprint of answeredTraits(identity.traitsOf(request), isSuccess)) {
      if (!evidence.isSuspected(fingerprint) && !quarantined.has(fingerprint)) continue;
      releaseAndDrop(fingerprint, "answered");
      updates.announceAnswered(fingerprint);
    }
  };

  return {
    isReady: maintenance.isReady,
    digest,
    notePeerDigest: digestCheck.notePeerDigest,
    isQuarantined,
    comeBackAfter,
    admit: (request) => (maintenance.isReady() && !isQuarantined(request) ? undefined : admitLater(request)),
    noteAnswered,
    isSuspected: (request) =>
      !evidence.isEmpty() &&
      identity.traitsOf(request).some(({ fingerprint }) => evidence.isSuspected(fingerprint)),
    noteFailed: trials.end,
    noteCrash: ({ replica, broken }) => {
      for (const { traits } of broken) for (const trait of traits) knownTraits.set(trait.fingerprint, trait);
      const crash = { replica, suspects: suspectsOf(broken, answers.has) };
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
