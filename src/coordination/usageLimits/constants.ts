/** Constants for enforcing organisations' limits over all routers. Durations are milliseconds. */

/**
 * An organisation is far from its limit if at least this share of its burst is left, in percent. Its requests are then
 * forwarded while the coordinator is queried, so that the query adds no latency.
 */
export const optimisticThreshold = 50;

/** How long the remaining share in an answer of the coordinator is relied on. */
export const optimisticDuration = 1_500;

/**
 * Shares of what all routers together may forward beyond the limit.
 *
 * - `coordinator`: added to the burst. Prompts come in bunches, and some are larger than a small organisation's whole
 *   burst; without it they left a debt that refused everything after them.
 * - `initial`: the level with which a coordinator that takes over starts.
 * - `ungranted`: for routers that can't reach the coordinator.
 *
 * The rest is for requests that are forwarded while the coordinator is queried.
 */
export const overshootShares = { coordinator: 0.4, initial: 0.15, ungranted: 0.3 } as const;

/**
 * A router that can't reach the coordinator goes on for this long at the rate at which it was granted before: what a
 * partitioned data centre forwards in that time fits into the overshoot, and where the coordinator is lost nobody else
 * is granted the rest meanwhile.
 */
export const fallbackDuration = 3_000;

/**
 * Near its limit an organisation goes on at this share of that rate only: a partitioned data centre may have a third of
 * its usage, while the others may take the whole rate.
 */
export const nearLimitShare = 0.5;

/** Number of buckets of the window in which usage is counted: the older a count, the coarser its age. */
export const bucketsPerWindow = 16;

/** Random spread of retry times, as a share of them, so that callers refused together don't return together. */
export const retryJitter = 0.3;

/** The shortest time after which a caller is asked to retry. */
export const minRetryAfter = 50;
