/** Limits of the recovery after a new epoch of the platform's store. Durations are milliseconds. */

/** Time within which the operator and the replicas write again the records that the store has lost. */
export const recoveryDuration = 2_000;

/**
 * Upper bound on the time for which reads of a new epoch prove nothing, as a share of the time in which a key may be
 * served after its end.
 */
export const recoveryShare = 0.3;

/** Longest time for which a router waits after its start for a first message from a peer. */
export const joinTimeout = 150;

/** Between two reads of copies that peers' messages cause. */
export const copyReadInterval = 200;

/** Number of routers that write copies first, one after another. */
export const firstCopyWriters = 3;

/** Delay between the first attempts of these routers. */
export const copyWriteInterval = 300;

/** Delay after a failed write of a copy. */
export const copyRetryInterval = 500;

/** Random delay before registering again in a new epoch, up to this time for each router in the deployment. */
export const registrationSpreadPerRouter = 10;

/** How long no other router must have appeared before the first routers of a system use their reserve for retries. */
export const bootstrapPause = 300;

/** Between two looks whether other routers have appeared. */
export const bootstrapCheckInterval = 20;

/**
 * Random delay before a whole read in a new epoch by a router that others read for: up to this time for each router
 * in the deployment, and an upper bound in all.
 */
export const rereadSpreadPerRouter = 1;
export const longestRereadDelay = 500;

/** Factor on this delay for the registry, which is longer than the operator's records and takes longer to read. */
export const registryRereadFactor = 8;

/** Between two reads that peers' messages with a newer epoch cause. */
export const epochReadInterval = 250;

/** How early a timer may fire. */
export const timerSlack = 5;
