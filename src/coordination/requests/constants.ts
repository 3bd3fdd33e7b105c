/** Limits of request handling. Durations are milliseconds. */

/** Attempts in a row that bring no new piece of the answer before a request is given up. */
export const maxAttemptsWithoutProgress = 3;

/** After how many seconds a caller may come back where nothing better is known. */
export const defaultRetryAfterSeconds = 1;

/** The longest back-off before a first retry; doubled for each further one. */
export const initialBackoff = 20;

/** The longest back-off of all. */
export const maxBackoff = 500;

/** Retries that a class may save up while nothing fails, and owe for streams that have begun. */
export const maxRetryBalance = 50;

/** Retries that a class has at the start, and always gets back with time, so that rare requests have some. */
export const retryReserve = 10;

/** Retries of the reserve that come back each second. */
export const reserveRefillPerSecond = 0.2;

/** Hedges allowed for each successful request of a class that hedges: a bound on the extra work. */
export const hedgeRatio = 0.05;

/** Hedges that a class may save up. */
export const maxHedgeBalance = 5;

/**
 * How long an engine goes on with a stream whose caller has gone, so that the caller can pick it up again:
 * long enough to reconnect, short enough to cost little for callers that meant to stop.
 */
export const resumeGrace = 1_000;

/** How long after its request's completion deadline a resume token is accepted. */
export const resumeTokenLifetime = 60_000;

/** How often a request that no engine has seen is bound to weights: a roll-out changes them once or twice. */
export const maxWeightBindings = 3;

/** Timers that are due within so many milliseconds of one another may fire in any order. */
export const timerPrecision = 5;
