/** Start time of a replica's first process, Unix milliseconds. */
export const firstReplicaStart = 1_700_000_000_000;
