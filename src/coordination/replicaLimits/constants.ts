/** Constants for enforcing the rate limits that replicas report. Durations are milliseconds. */

/** Rate at which a replica with a limit of 0 is tried, requests a second: only an answer shows that a limit has ended. */
export const minRate = 0.1;

/** Limits from here on are treated as none, requests a second: no replica ever gets as much. */
export const unlimitedRate = 10_000;

/** Besides one request, a burst after a pause may hold what the limit allows in this time. */
export const burstWindow = 500;

/** Consecutive answers without a limit that change nothing: a replica may report its limit in some answers only. */
export const toleratedMissingLimits = 1;

/** Factor by which the granted rate rises with each further answer without a limit. */
export const missingLimitRateFactor = 2;

/** Consecutive answers without a limit after which the limit has ended. */
export const missingLimitsToEnd = 5;

/**
 * The coordinator remembers an ended limit for this long, and says so to a router that still reports it, so that the
 * router does not revive it.
 */
export const endedLimitRetention = 600_000;

/** A grant that is not used within this time is void: the process may have been paused in between. */
export const grantLifetime = 1_000;

/** The shortest time for which a replica without capacity is skipped. */
export const minSkipDuration = 20;

/** Where no coordinator answers, a router sends this share of an even part of the limit without a grant. */
export const localGrantShare = 0.5;

/** A replica is skipped for this long when no coordinator answers and the local share is used up. */
export const unansweredSkipDuration = 400;

/** Refusals by limited replicas after which one request goes on among replicas without a limit. */
export const maxRefusals = 3;

/** Replicas at which a request without another candidate tries to reserve a grant, one after another. */
export const maxReservations = 2;

/** Share of the latency objective for which a request waits for a reserved grant. */
export const reservationWaitShare = 0.5;

/**
 * Cost that placement adds to a replica with a limit, milliseconds, so that its few grants go to the requests that gain
 * most there. It falls to 0 within the decay time after the last report, since only an answer shows that a limit has
 * ended.
 */
export const limitPenalty = { cost: 30, decayTime: 2_000 } as const;

/** Requests refused within this window are spread, by `Retry-After`, over the time in which there is room for them. */
export const refusalWindow = 4_000;

/** Number of buckets of that window: the older a count, the coarser its age. */
export const refusalBuckets = 8;

/** The longest time after which a caller is asked to retry. */
export const maxRetryAfter = 10_000;

/** The shortest time after which a caller is asked to retry. */
export const minRetryAfter = 50;

/** Owners of replicas announce a limit to routers that ask for this long after an answer reported it. */
export const announcedLimitMaxAge = 10_000;
