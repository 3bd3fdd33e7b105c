/** Limits of what replicas report about themselves. Durations are milliseconds. */

/** Statuses with which a replica turns a request away, so that `Retry-After` is about the replica. */
export const unavailableStatuses: ReadonlySet<number> = new Set([429, 503]);
