/**
 * Holds back requests that crash the replicas that run them, whoever they come through and under whatever id.
 *
 * The load pattern that it answers: a caller sends the same again and again; each run ends a process, and the streams
 * that ran beside it with it. Routers tell one another which requests were in flight at each crash. One that was at
 * three, and answered nowhere since, is sent to no replica any more; where several were at the same replicas, the
 * likeliest cause is, and its crashes count against no other. Any whole answer clears a request at once, so that
 * popular ones, in flight at every crash, are cleared by their next answer somewhere. One that was held back by
 * chance has its way back by a trial, which one router of all makes. The platform's store keeps what was decided.
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
import { settleTime, undecidedComeBack } from "./constants.ts";
import { createCrashEvidence } from "./crashEvidence.ts";
import { createCrashNews } from "./crashUpdates.ts";
import { createHeldRequests } from "./quarantinedRequests.ts";
import { createQuarantineRecords } from "./quarantineRecords.ts";
import { createRecordsCheck } from "./digestCheck.ts";
import { startRecordsUpkeep } from "./recordsMaintenance.ts";
import { createTrials } from "./trials.ts";

/** How requests of one interface are told apart. */
export interface RequestIdentity<Request> {
  readonly fingerprintOf: (request: Request) => Fingerprint;
  /** @returns The id of this try of a caller, for the log. */
  readonly idOf: (request: Request) => string;
}

/** Requests that are passed on. */
const callerRequests: RequestIdentity<CallerRequest> = { fingerprintOf, idOf: ({ id }) => id };

/** What a quarantine works with. */
export interface QuarantineDependencies {
  readonly link: DatagramLink;
  readonly clock: Clock;
  readonly feed: RecordFeed<QuarantineRecord>;
  readonly epochs: EpochSource;
  /** @returns The other routers that may be serving, silent ones included. */
  readonly others: () => readonly Pick<LiveRouter, "at">[];
  /** A number from 0 to 1. */
  readonly random: () => number;
}

/** What decisions about requests ask of a quarantine. */
export interface QuarantineChecks<Request extends object = CallerRequest> {
  /** @returns Whether a request must not be sent at this moment. */
  readonly isQuarantined: (request: Request) => boolean;
  /**
   * A request is to be passed on; where it is held back and its trial is due, this router may get to make it.
   *
   * @returns Milliseconds after which it is worth another try; nothing if it may be passed on.
   */
  readonly admit: (request: Request) => Promise<number | undefined> | undefined;
  /** @returns Milliseconds after which a request that is held back is worth another try. */
  readonly comeBackAfter: (request: Request) => number;
  /** A replica has answered it whole. */
  readonly noteAnswered: (request: Request) => void;
  /** An attempt of it failed after it was sent: a trial is over then. */
  readonly noteFailed: (request: Request) => void;
  /** A replica crashed with requests of this router in flight. */
  readonly noteCrash: (crash: ReplicaCrash) => void;
}

/** By which peers find out that they don't hold back the same. */
export interface QuarantineDigests {
  /** Of what is held back here. */
  readonly digest: () => number;
  /** A peer holds back what has this digest. */
  readonly notePeerDigest: (digest: number) => void;
}

/** See {@link createQuarantine}. */
export interface Quarantine<Request extends object = CallerRequest>
  extends QuarantineChecks<Request>, QuarantineDigests, AsyncDisposable {
  /** Whether what the store knows has been read, or was waited for long enough. */
  readonly isReady: () => boolean;
}

/** Where nothing is ever held back. */
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

/** Why a request is held back: by what crashes show, a peer's word, or the store's. */
type HoldReason = "crashes" | "told" | "recorded";

/** Why it is held back no more: an answer here, a peer's word, the store's, or for its time. */
type ReleaseReason = "answered" | "told" | "recorded" | "lapsed";

const writeLog = createLogger("quarantine");

/** Creates a quarantine of requests that are passed on, which is kept up until it is disposed of. */
export const createQuarantine = (parts: QuarantineDependencies): Quarantine =>
  createQuarantineFor(parts, callerRequests);

/** Creates a quarantine of requests of any interface, which is kept up until it is disposed of. */
export const createQuarantineFor = <Request extends object>(
  parts: QuarantineDependencies,
  names: RequestIdentity<Request>,
): Quarantine<Request> => {
  const { clock, random } = parts;
  const held = createHeldRequests(clock);
  const evidence = createCrashEvidence(held.has);
  const fingerprints = new WeakMap<Request, Fingerprint>();
  let callOffDecision: (() => void) | undefined;

  const nameOf = (request: Request): Fingerprint => {
    const known = fingerprints.get(request);
    if (known !== undefined) return known;
    const made = names.fingerprintOf(request);
    fingerprints.set(request, made);
    return made;
  };

  const hold = (fingerprint: Fingerprint, why: HoldReason): void => {
    if (!held.add(fingerprint, evidence.isOwn(fingerprint))) return;
    upkeep.keep(fingerprint);
    writeLog("held", { held: fingerprint, crashes: evidence.crashesOf(fingerprint), why });
  };

  const decide = (): void => {
    callOffDecision = undefined;
    for (let cause = evidence.likeliestCause(); cause !== undefined; cause = evidence.likeliestCause()) {
      const isOwn = evidence.isOwn(cause);
      hold(cause, "crashes");
      // All routers decide at once: that each of 195 told and recorded it would be 75,000 messages for one request.
      if (!isOwn) continue;
      news.tellHeld(cause);
      void records.write(cause);
    }
  };

  const decideSoon = (): void => {
    callOffDecision ??= clock.after(settleTime, decide);
  };

  const release = (fingerprint: Fingerprint, why: ReleaseReason): void => {
    evidence.clear(fingerprint);
    if (!held.has(fingerprint)) return;
    held.remove(fingerprint);
    writeLog("released", { held: fingerprint, why });
    // The crashes that it explained have another cause.
    decideSoon();
  };

  /** The same, and the store is to forget it too. */
  const end = (fingerprint: Fingerprint, why: ReleaseReason): void => {
    if (held.has(fingerprint)) upkeep.drop(fingerprint);
    release(fingerprint, why);
  };

  const records = createQuarantineRecords({
    feed: parts.feed,
    epochs: parts.epochs,
    held,
    onHeld: (fingerprint, record, epoch) => {
      // Released here, and the store has not heard of it.
      if (upkeep.isDropping(fingerprint)) return;
      hold(fingerprint, "recorded");
      held.take(fingerprint, record, epoch);
    },
    onReleased: (fingerprint) => release(fingerprint, "recorded"),
  });
  const upkeep = startRecordsUpkeep({
    held,
    records,
    clock,
    epochs: parts.epochs,
    onLapsed: (each) => end(each, "lapsed"),
  });
  const check = createRecordsCheck({ clock, random, digest: held.digest, read: records.read });
  const trials = createTrials({ held, records, clock, idOf: names.idOf });

  const isUndecided = (fingerprint: Fingerprint): boolean =>
    !held.has(fingerprint) && evidence.isCause(fingerprint);

  const noteEvidence = ({ replica, suspects }: ReplicaCrash, isOwn: boolean): void => {
    evidence.note(replica, suspects, isOwn);
    if (suspects.some(({ fingerprint }) => isUndecided(fingerprint))) decideSoon();
  };

  const takeNews = (message: CrashMessage): void => {
    if (message.kind === "crash") for (const each of message.crashes) noteEvidence(each, false);
    else if (message.kind === "held") for (const each of message.fingerprints) hold(each, "told");
    else for (const each of message.fingerprints) release(each, "told");
  };
  const news = createCrashNews({ ...parts, take: takeNews });

  const isHeld = (request: Request): boolean => {
    if (held.size() === 0 && callOffDecision === undefined) return false;
    const fingerprint = nameOf(request);
    return (held.has(fingerprint) || isUndecided(fingerprint)) && !trials.has(request);
  };

  const comeBackAfter = (request: Request): number =>
    Math.max(undecidedComeBack, held.untilChange(nameOf(request)));

  const answer = async (request: Request): Promise<number | undefined> => {
    await upkeep.known;
    if (!isHeld(request) || (await trials.claim(request, nameOf(request)))) return undefined;
    return isHeld(request) ? comeBackAfter(request) : undefined;
  };

  return {
    isReady: upkeep.isKnown,
    digest: held.digest,
    notePeerDigest: check.notePeerDigest,
    isQuarantined: isHeld,
    comeBackAfter,
    admit: (request) => (upkeep.isKnown() && !isHeld(request) ? undefined : answer(request)),
    noteAnswered: (request) => {
      if (evidence.isEmpty() && held.size() === 0) return;
      const fingerprint = nameOf(request);
      if (!evidence.isSuspected(fingerprint) && !held.has(fingerprint)) return;
      end(fingerprint, "answered");
      news.tellAnswered(fingerprint);
    },
    noteFailed: trials.end,
    noteCrash: (crash) => {
      noteEvidence(crash, true);
      news.tellCrash(crash);
    },
    [Symbol.asyncDispose]: async () => {
      callOffDecision?.();
      await news[Symbol.asyncDispose]();
      await upkeep[Symbol.asyncDispose]();
    },
  };
};
