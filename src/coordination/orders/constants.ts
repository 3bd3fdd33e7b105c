/** Share of a pool's engines that goes on serving while others are brought over. */
export const keptShare = 0.75;

/** Engines whose reports an order holder asks for in one pass. */
export const surveyBatch = 32;

/** A report older than this is asked for again, milliseconds. */
export const surveyAge = 1_000;

/** Wait before an engine that failed is tried again, milliseconds; doubled by each failure. */
export const firstRetryDelay = 500;
export const longestRetryDelay = 30_000;

/** Orders to one engine that fail before it is left as it is for a while. */
export const maximumOrderFailures = 3;

/** Where an engine stands in a roll-out. */
export const phases = {
  /** Runs what the configuration names. */
  asDesired: "as_desired",
  /** Has to be changed, but its pool can spare no more engines, or all load slots are taken. */
  waiting: "waiting",
  /** Takes no new work; what runs there comes to its end. */
  draining: "draining",
  loading: "loading",
  admitting: "admitting",
  /** Failed lately; tried again after a wait. */
  failed: "failed",
  /** Says that it leaves, or is listed so: gets no orders. */
  leaving: "leaving",
  /** Has not reported. */
  unknown: "unknown",
} as const;
