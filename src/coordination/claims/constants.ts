/** Constants of the claim ledger. Durations are in milliseconds. */

/**
 * Number of log streams that keys are partitioned over. All routers must agree: change it only while every router
 * is stopped.
 */
export const partitionCount = 4;

/** How far a key's issue time may lie ahead of the log service's clock. All routers must agree. */
export const maxClockSkew = 30_000;

/** Time span of the log that a router's index covers; older keys are looked up in the log itself. */
export const indexSpan = 90_000;

/** Maximum number of keys in the index of one partition; the oldest are evicted first. */
export const maxIndexedKeys = 20_000;

/** Maximum number of records in one read. */
export const pageSize = 1_000;

/** Number of unread records beyond which a reader seeks forward instead of reading them all. */
export const maxCatchUpRecords = 20_000;

/** Maximum number of records in one append. */
export const maxBatchSize = 500;

/** Maximum number of queued background records while the log service is unavailable; the oldest are dropped first. */
export const maxBackgroundRecords = 10_000;

/** How long a background record waits for others to share its append. */
export const batchingDelay = 250;

/**
 * Delays between appends: the first, and the maximum while the log service refuses by its rate limit or is
 * unavailable.
 */
export const appendBackoff = { initial: 10, maxWhileRateLimited: 500, maxWhileUnavailable: 100 } as const;

/** How long a request waits for its claim before it is refused as `not_run`. */
export const claimTimeout = 2_000;

/** The same while the last append failed because the log service was unavailable. */
export const claimTimeoutWhileUnavailable = 300;

/** How long a release is awaited before it continues in the background. */
export const releaseTimeout = 500;

/** How long a retry waits for the outcome of the request that holds its key. */
export const outcomeTimeout = 2_000;

/** Interval between reads while a retry waits for an outcome. */
export const outcomePollInterval = 100;

/** Size in bytes up to which an answer is recorded for retries. */
export const maxRecordedAnswerSize = 4_096;

/** How long a flush waits for queued records to be appended. */
export const flushTimeout = 2_000;
