/** Limits of what follows a new epoch of the platform's store. Durations are milliseconds. */

/** Within which operator and replicas write again what the store has lost. */
export const recoveryTime = 2_000;
