/** Limits of passing requests on to other routers. Durations are milliseconds. */

/** Routers that are tried with one request. */
export const maxRelayTargets = 3;

/** Other routers are preferred to one that could not be reached, or has no path either, for this long. */
export const avoidanceTime = 500;

/** Where no router takes a request of a service on, the next ones are not passed on for this long. */
export const noTargetMemory = 100;

/** A router in another data centre is chosen only if those of this one have this many more requests of this router. */
export const farPenalty = 4;

/** The same for a router that others are preferred to: above the requests that a router passes on at a time. */
export const avoidedPenalty = 1_000;
