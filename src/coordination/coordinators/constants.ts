/** Constants for the coordination of keys. Durations are milliseconds. */

/** Interval at which each router checks which keys it coordinates. */
export const roleCheckInterval = 250;

/**
 * A router from which nothing was received for this long coordinates nothing any more: its successor takes over. It is
 * longer than {@link dataCentreTimeout}, after which a coordinator without a majority of data centres stops granting, so
 * that two routers never grant at once.
 */
export const takeoverTimeout = 2_500;

/** A data centre from which nothing was received for this long counts as partitioned from this router. */
export const dataCentreTimeout = 1_500;

/**
 * A router that has just started may act before {@link takeoverTimeout} has passed once this many successors have
 * answered it: they know it by then, and whichever of them coordinated the key has stopped. With the timeout alone, most
 * requests of large organisations would be refused for that time after most routers restart together.
 */
export const successorsToConfirm = 5;

/** Successors ask a coordinator for a heartbeat when nothing was received from it for this long. */
export const probeAfter = 700;

/** Successors stop monitoring a key that nobody has asked about for this long. */
export const monitorRetention = 30_000;

/**
 * The number of routers, from the first of a key's order on, that monitor the key, and that one request asks one after
 * another. Later routers follow where all of these are unreachable.
 */
export const maxCandidates = 3;

/** A process whose own timer fires this late was paused: its view of the other routers is out of date. */
export const processPauseThreshold = 1_000;

/** Timeout of a query: a multiple of the average answer time, between two bounds. */
export const answerTimeout = { factor: 4, shortest: 15, longest: 80 } as const;

/** The expected answer time until answers have been received. */
export const initialAnswerTime = 5;

/** Weight of a new sample in the moving average of answer times. */
export const answerTimeSmoothing = 0.1;

/** A router that did not answer, or does not coordinate the key it was asked about, is skipped for this long. */
export const skipDuration = 400;
