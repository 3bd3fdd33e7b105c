/** Limits of finding replicas that crash, and requests that crash them. Durations are milliseconds. */

/**
 * From the first connection that a replica broke until it is tried with a new one: the resets of a process that ended
 * reached a router within 7 ms of one another, and the port is closed by then.
 */
export const crashGathering = 25;
