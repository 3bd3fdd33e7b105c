/** Limits of what follows a new epoch of the platform's store. Durations are milliseconds. */

/** Within which operator and replicas write again what the store has lost. */
export const recoveryTime = 2_000;

/** Most of the time in which a key may be served after its end, for which reads of a new epoch prove nothing. */
export const recoveryShare = 0.3;

/** Longest wait of a router that starts for a first message of a peer, from its start. */
export const joinTimeout = 150;

/** Between two reads of copies that peers' messages ask for. */
export const copyReadInterval = 200;

/** Routers that write copies first, one after another. */
export const copyWriters = 3;

/** Between the first attempts of these. */
export const copyWriteInterval = 300;

/** After a write of a copy that failed. */
export const copyRetryInterval = 500;

/** By how much registrations that are written again are spread, for each router. */
export const registrationSpread = 10;

/** By how much whole reads in a new epoch are spread, for each router, where others read for it; at most in all. */
export const rereadSpreadPerRouter = 1;
export const longestRereadDelay = 500;

/** The registry is longer than the operator's records, and read more slowly. */
export const registryRereadFactor = 8;

/** Between two reads that peers' messages of a newer epoch ask for. */
export const epochReadInterval = 250;

/** By how much a timer may fire early. */
export const timerSlack = 5;
