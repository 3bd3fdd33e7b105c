/** Figures of the modelled network and platform, from the users' brief where it gives them. */

/** One way, milliseconds. */
export const latencies = { within: 0.1, between: 0.5 } as const;

/** Attempts for one request, as in the router. */
export const maximumAttempts = 3;

/** Until a router notices that an engine does not answer at all, milliseconds. */
export const unreachableTimeout = 500;

/** Over which the rate rises from nothing: empty caches under full load would measure the start alone. */
export const rampUp = 8000;

/** Simulated milliseconds before figures count. */
export const warmUp = 12_000;
