/** Constants for what replicas report about themselves. Durations are milliseconds. */

/** Statuses of rejections by the replica itself, whose `Retry-After` is about the replica. */
export const unavailableStatuses: ReadonlySet<number> = new Set([429, 503]);

/** Routers return to a replica spread over this time after its backoff, or over a share of the backoff if that is less. */
export const reopeningJitter = { spread: 500, share: 0.25 } as const;

/** Interval between requests to a replica after its backoff: halved with each answer, unlimited below the shortest. */
export const recoveryIntervals = { first: 100, shortest: 5 } as const;

/** How long other replicas are preferred after a refusal that doesn't say for how long; doubles with each refusal. */
export const avoidanceTimes = { first: 50, longest: 1_000 } as const;

/**
 * Backoff from a brittle replica that turned a request away, milliseconds, and how many requests routers may have sent
 * it by the time all of them know: the more it can turn away in a second, the shorter the backoff.
 */
export const brittleBackoff = 1_000;
export const rejectionsPerBackoff = 2;

/** Callers for which no replica is available retry spread over this time after the backoff, or a share of it if more. */
export const retryJitter = { least: 500, share: 0.5 } as const;

/** When callers retry if all replicas of a service are draining: others may be registered by then. */
export const drainedRetryAfter = { shortest: 500, longest: 2_000 } as const;

/** Maximum number of unavailable replicas that a log line lists. */
export const maxSkippedLogged = 8;
