/** Limits of the claim ledger. Durations are milliseconds. */

/** Streams that claims are spread over. All routers must agree: change it only with every router stopped. */
export const partitionCount = 4;

/** How far a key's issue time may lie in the future of the log service's clock. All routers must agree. */
export const longestSkew = 30_000;

/** Log time that a router's index reaches back; older keys are looked up in the log itself. */
export const indexSpan = 90_000;

/** Keys that the index of one partition holds at most; the oldest leave first. */
export const maximumIndexedKeys = 20_000;

/** Records read at once. */
export const pageSize = 1_000;

/** A reader that is further behind than this seeks forward instead of reading everything. */
export const longestCatchUp = 20_000;

/** Records of one append. */
export const maximumBatch = 500;

/** Records that wait for the log service to come back; the oldest are given up first. */
export const maximumWaitingSettlements = 10_000;

/** How long an outcome waits for company before it is appended by itself. */
export const settlementLinger = 250;

/** Pauses between appends while the log service is over its rate or away: the first, and the longest. */
export const appendBackoff = { first: 10, longestOverRate: 500, longestWhileDown: 100 } as const;

/** Longest wait for a claim before the request is refused as not run. */
export const longestClaimWait = 2_000;

/** The same where the log service was away a moment ago. */
export const longestWaitWhileDown = 300;

/** Longest wait for a release before the caller is told; it goes on in the background. */
export const longestReleaseWait = 500;

/** Longest wait of a retry for the outcome of the request that holds its key. */
export const longestOutcomeWait = 2_000;

/** Pause between two looks at a claim that somebody else holds. */
export const outcomePollInterval = 100;

/** Longest answer, bytes, that is recorded for retries. */
export const longestRecordedAnswer = 4_096;

/** Longest wait for outcomes to be recorded at the end of the process. */
export const longestFlush = 2_000;
