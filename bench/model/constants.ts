/** Constants of the simulated network and platform. Times are simulated milliseconds. */

/** One-way network latency within a data centre and between two. */
export const latencies = { within: 0.1, between: 0.5 } as const;

/** Attempts for one request, as in the router. */
export const maximumAttempts = 3;

/** Time until a router treats an engine that does not respond as failed. */
export const unreachableTimeout = 500;

/** Time over which the request rate rises from zero; at full load, empty caches would dominate the results. */
export const rampUp = 8000;

/** Requests that arrive earlier are left out of the figures. */
export const warmUp = 12_000;
