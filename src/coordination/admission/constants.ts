/** Limits and weights of admission by fair shares. Durations are milliseconds. */

/** A request class is active for this long after its last request. */
export const recentClassTime = 3_000;

/** Number of services whose request classes are tracked. */
export const maxTrackedServices = 1_000;

/**
 * Less urgent prompts are admitted up to a queue of this share of the latency objective of more urgent ones. Below the
 * shedding threshold, so that urgent prompts still find room behind the less urgent ones.
 */
export const lessUrgentQueueShare = 0.5;

/**
 * Weight of an organisation's share of the queue. With 1, an organisation that floods fills at most half of the queue,
 * two of them two thirds.
 */
export const organisationWeight = 1;

/**
 * Share of the capacity that requests which never waited leave to returning ones, while returns of the same
 * organisation and urgency are due.
 */
export const returnReserve = 0.2;

/**
 * Time between two promised returns, as a share of what this router's part of the service takes to compute the request.
 * Below 1, since callers that are told to return after their objective gain nothing: those of a burst should all learn a
 * time at which their answer can still be useful, and what does not fit then is refused again at once.
 */
export const returnSpacing = 0.3;

/** A promised return is due for this long after its time: callers are delayed by the network and their own timers. */
export const returnGrace = 300;

/** A request has returned too early if it waited less than this share of the shortest time that was promised. */
export const earlyReturnShare = 0.9;

/** Number of organisations with promised returns that are tracked, over all services and priorities. */
export const maxTrackedReturns = 5_000;

/** The longest time that callers state is learned over one to two periods of this length. */
export const callerTimePeriod = 10_000;

/** Number of routes whose callers' stated times are tracked. */
export const maxTrackedRoutes = 1_000;

/** Smoothing factor of the average time that the prompts of a request class take. */
export const typicalPromptSmoothing = 0.02;
