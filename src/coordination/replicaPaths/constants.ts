/** Limits of the checks whether this router has paths to replicas. Durations are milliseconds. */

/** Timeout of a connection that is opened to check a path: many times the round trip within a region. */
export const pathProbeTimeout = 80;

/** A probe that ends later than this after its timeout shows that this process did not run meanwhile. */
export const maxProbeDelay = 50;

/** Number of replicas that are probed at once to prove a path. */
export const probesPerProof = 4;

/**
 * Number of replicas of a service that are probed at once, one round after another until one accepts: after a failed
 * connection, where usually a single replica is at fault; after silence of all; and while the service is lost.
 */
export const probeRounds = { failure: [1, 8], silence: [8], lost: [1] } as const;

/** Number of engines that are asked for their status at once, after one has accepted a connection and not answered. */
export const enginesPerAnswer = 8;

/** With responses pending, silence of all replicas for this long leads to a check. */
export const silenceBeforeCheck = 80;

/** Between two checks because of silence: a lone long prompt is silent until its first token. */
export const silenceCheckInterval = 1_000;

/** The same, after engines have accepted connections and not answered. */
export const unansweredCheckInterval = 150;

/** After a check that found a path, failures lead to no other one for this long. */
export const failureCheckInterval = 200;

/** Age up to which an answer or an accepted connection proves that this router has a path to replicas. */
export const maxProofAge = 1_000;

/** Interval between two checks of a service without a path; doubles up to the longest. */
export const lostCheckIntervals = { shortest: 150, longest: 300 } as const;

/** Intervals of the poll that looks for silence, with and without responses pending. */
export const pollIntervals = { busy: 40, idle: 100 } as const;

/**
 * Replicas that fall silent for a second may go on. Only after this time is a service that no router has a path to
 * refused at once, and are engines taken for lost that accept connections and don't answer.
 */
export const toleratedSilence = 1_500;
