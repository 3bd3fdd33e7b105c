/** Limits of request handling. Durations are in milliseconds unless a name says otherwise. */

/** Consecutive attempts without a new piece of the answer after which a request fails. */
export const maxAttemptsWithoutProgress = 3;

/** `Retry-After` of a refusal for which no better estimate is known. */
export const defaultRetryAfterSeconds = 1;

/** Maximum back-off before the first retry; doubled for each further one. */
export const initialBackoff = 20;

/** Upper bound of the back-off before any retry. */
export const maxBackoff = 500;

/** Retries that a class can accumulate; also the number by which continuations of streams can overdraw the budget. */
export const maxRetryBalance = 50;

/** Retries that a class starts with, and is refilled to over time, so that a class with few requests has some. */
export const retryReserve = 10;

/** Rate at which the reserve is refilled, retries per second. */
export const reserveRefillPerSecond = 0.2;

/** Hedges allowed per successful request of a class that hedges; bounds the extra load. */
export const hedgeRatio = 0.05;

/** Hedges that a class can accumulate. */
export const maxHedgeBalance = 5;

/**
 * How long an engine continues a stream after its caller has disconnected, so that the caller can resume it: long
 * enough to reconnect, short enough to waste little work for callers that meant to stop.
 */
export const resumeGrace = 1_000;

/** How long a resume token stays valid after the completion deadline of its request. */
export const resumeTokenLifetime = 60_000;

/** How often a request that no engine has received is bound to weights. A roll-out changes them once or twice. */
export const maxWeightBindings = 3;

/** Timers whose due times differ by no more than this can fire in any order. */
export const timerPrecision = 5;
