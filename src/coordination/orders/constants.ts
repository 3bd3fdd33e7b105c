/** Constants of orders to engines. Durations are in milliseconds. */

/** Share of a pool's engines that must keep serving while others are changed. */
export const minServingShare = 0.75;

/** Maximum number of engines that are asked for a load report in one pass. */
export const maxReportsPerPass = 32;

/** Age from which a load report is requested again. */
export const maxReportAge = 1_000;

/** Delay before a failed engine is retried; doubled by each failure up to the maximum. */
export const initialRetryDelay = 500;
export const maxRetryDelay = 30_000;

/** Failed orders after which an engine is left unchanged until its retry delay has passed. */
export const maxOrderFailures = 3;

/** Phases of an engine in a roll-out. */
export const phases = {
  /** Runs what the configuration requires. */
  asDesired: "as_desired",
  /** Has to be changed, but its pool cannot spare another engine, or all slots for loads are in use. */
  waiting: "waiting",
  /** Accepts no new requests and finishes those that are running. */
  draining: "draining",
  loading: "loading",
  admitting: "admitting",
  /** Failed recently; retried after a delay. */
  failed: "failed",
  /** Reports that it is leaving, or is listed as leaving: receives no orders. */
  leaving: "leaving",
  /** No load report received. */
  unknown: "unknown",
} as const;
