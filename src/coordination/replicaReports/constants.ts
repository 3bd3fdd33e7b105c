/** Limits of what replicas report about themselves. Durations are milliseconds. */

/** Statuses of rejections by the replica itself, in which `Retry-After` is about the replica. */
export const unavailableStatuses: ReadonlySet<number> = new Set([429, 503]);

/** Routers return to a replica spread over so long after its backoff, or over a share of it if that is less. */
export const reopening = { spread: 500, share: 0.25 } as const;

/** Between two requests at a replica that is tried again: halved with each answer, unlimited below the shortest. */
export const recoveryIntervals = { first: 100, shortest: 5 } as const;

/** How long other replicas are preferred after refusals that don't say for how long; doubles with each. */
export const avoidance = { first: 50, longest: 1_000 } as const;

/** Callers that no replica has room for return spread over this much longer than the backoff, or a share of it. */
export const returnSpread = { least: 500, share: 0.5 } as const;

/** When callers return if all replicas of a service drain: until others are registered. */
export const drainedRetryAfter = { shortest: 500, longest: 2_000 } as const;

/** Unavailable replicas that a log line names. */
export const mostSkippedLogged = 8;
