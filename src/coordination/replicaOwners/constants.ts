/** Limits of asking the owners of replicas. Durations are milliseconds. */

/** Candidates for the owner of a replica, in rank order; with all of them unreachable no owner is asked. */
export const maxOwnerCandidates = 3;

/** Interval of reading the list of live routers: a lost owner is noticed earlier, by its missing answers. */
export const membersRefreshInterval = 250;

/**
 * Time for which an owner is skipped after an answer that did not come in time; doubles with each further timeout.
 * After a lost datagram there are two owners for a moment, each of which knows a part of the work.
 */
export const unreachableOwnerTimes = { first: 500, longest: 8_000 } as const;

/**
 * Timeout of an answer: a multiple of the average recent answer time, within two bounds. A round trip in a data centre
 * takes under 1 ms; small VMs with a limited share of a processor may answer only after up to a tenth of a second.
 */
export const answerTimeout = { factor: 4, shortest: 8, longest: 40 } as const;

/** Expected time of an answer until answers have been received. */
export const initialAnswerTime = 3;

/** Weight of a new observation in the moving average of the answer time. */
export const answerTimeSmoothing = 0.1;

/**
 * Replicas that are asked about for one request: homes of its deepest shared part, known holders, and random others.
 * The wide number of random others is used before a request is shed, since another replica may be able to answer it
 * in time.
 */
export const queriedReplicas = { homes: 2, holders: 1, others: 1, wide: 8 } as const;

/** Number of weights versions, newest first, whose replicas are asked about: during a roll-out few run the newest. */
export const queriedVersions = 2;

/** Replicas that are asked about for plain services, whose replicas cache nothing: near ones, and random others. */
export const queriedPlainReplicas = { near: 1, others: 2 } as const;

/** Prompts computed and requests ended within this interval share a report. */
export const reportBatchInterval = 20;

/** Interval of repeating reports of unchanged work: the longest time for which a new owner lacks them. */
export const reportRepeatInterval = 1_000;

/** Reported work expires unless it is reported again within this time: two repetitions may get lost. */
export const reportLifetime = 3_200;

/** Updates on holders of prompt parts in one report; older updates are dropped. */
export const maxReportedHolders = 40;

/** Holders of one part that an answer lists. */
export const maxHoldersPerPart = 3;
