/** Limits of crash detection and of the quarantine of requests that crash replicas. Durations are milliseconds. */
import type { TraitKind } from "../../protocol/forwarding/requestTrait.ts";

/**
 * Delay from the first broken connection to a replica until a new connection is tried. The resets of a process that
 * ended reach a router within 7 ms of one another, and the port is closed by then.
 */
export const crashProbeDelay = 25;

/** Delays before each repeated read of the incarnation of an engine that does not answer. */
export const incarnationReadRetryDelays = [50, 150, 300, 500] as const;

/** Timeout of one such read. */
export const incarnationReadTimeout = 300;

/**
 * Number of replicas that crash with a trait in flight, with no answer in between, before its requests are quarantined.
 * A lower threshold would quarantine traits that were in flight beside a crash by chance; each further crash costs a
 * replica and everything that runs there. Broad traits are in flight almost always, and many callers lose by them.
 */
export const crashThresholds = {
  content: 3,
  callerPart: 3,
  part: 3,
  size: 8,
  model: 8,
} as const satisfies Readonly<Record<TraitKind, number>>;

/** Further crashes that it takes where a request with the trait was answered not long before. */
export const provenThresholdIncrease = 3;

/** Crashes within this time count as one for traits that requests share, milliseconds. */
export const simultaneousCrashes = 50;

/** How long an answer makes a trait less suspect. */
export const recentAnswerDuration = 60_000;

/** Number of traits whose last answer is remembered; about 100 bytes each. */
export const maxRecentAnswers = 8_192;

/**
 * Delay from the moment at which a request reaches the threshold until the cause is chosen among the suspects:
 * routers detect one crash up to 30 ms apart, and notify one another within a few milliseconds. The request is not
 * sent meanwhile.
 */
export const decisionDelay = 150;

/**
 * Trials of a quarantined request, over all routers: a trial that succeeds releases a request that was quarantined by
 * chance. The cause of the crashes may run at most three more times; one of these runs is left for routers that learn
 * of the quarantine too late.
 */
export const maxTrials = 2;

/**
 * Delays from the quarantine to the first trial, and from one trial to the next: crashes beside it are over by then.
 */
export const trialDelays = { first: 1_000, next: 30_000 } as const;

/**
 * Longest wait for the store to decide which router makes a trial. A quarantined request that can't be a trial is
 * refused at once.
 */
export const claimTimeout = 300;

/** Delay before the next trial where this one could not be claimed, for example because the store is unreachable. */
export const claimRetryDelay = 5_000;

/**
 * Time after which a trait is released. Engines and weights are replaced within a day, and may survive it then; sizes
 * and models are too many callers' to be refused that long.
 */
export const quarantineDurations = {
  content: 86_400_000,
  callerPart: 86_400_000,
  part: 86_400_000,
  size: 60_000,
  model: 60_000,
} as const satisfies Readonly<Record<TraitKind, number>>;

/** Number of remembered suspects, those of the newest crashes; a few hundred bytes each. */
export const maxSuspects = 4_096;

/** Number of traits quarantined at once, the newest; a few hundred bytes each. */
export const maxQuarantined = 1_024;

/** Keep a datagram small enough to be sent without IP fragmentation. */
export const maxFingerprintsPerMessage = 50;
export const maxTraitsPerMessage = 20;

/** Number of peers that a router asks for their quarantine where the store does not answer. */
export const queriedPeers = 3;

/** Interval at which the records are read while something is quarantined: an operator may have released it. */
export const recordsReadInterval = 15_000;

/**
 * Crashes within this interval share a message: when 20 replicas of a deployment of 195 routers crash at once, each
 * router receives 200 messages instead of 4,000, at 0.1 to 0.3 ms each.
 */
export const crashBatchInterval = 20;

/**
 * An answer that clears a request is announced after a random delay in this range, and not at all if another router
 * announces it first: a popular request is answered by many routers at once.
 */
export const answerAnnouncementDelays = { shortest: 20, longest: 120 } as const;

/** Delay before each message is sent a second time, since datagrams get lost. */
export const retransmissionDelay = 300;

/** Number of received messages that are remembered to detect duplicates. */
export const maxKnownMessages = 4_096;

/** Interval of checks for changes that the store has not accepted yet, and of retries of the first read. */
export const maintenanceInterval = 1_000;

/** A router that saw none of the crashes writes a record after this delay unless another router has written it. */
export const fallbackWriterDelay = 3_000;

/** How long a peer's digest must differ before the store is read to resolve the difference. */
export const digestMismatchGrace = 500;

/** Between two reads because of such a difference; the delay doubles as long as reads change nothing. */
export const digestMismatchReadDelays = { first: 1_000, longest: 16_000 } as const;

/** Longest time for which a starting router waits for its first read of the quarantine before it serves. */
export const firstReadTimeout = 1_000;

/** Part of that time which is left for peers to answer where the store has not. */
export const peerAnswerTime = 300;

/** Retry-after given to callers while the cause of crashes is undecided, and at least to all that are quarantined. */
export const undecidedRetryAfter = 250;
