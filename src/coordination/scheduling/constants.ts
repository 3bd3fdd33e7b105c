/** Constants of the predictive scheduler. Times are milliseconds unless stated otherwise. */

/** Size of the heat sketch, the time constant of its decay and its shortest rate window. */
export const heatSketchLimits = { maximumKeys: 4096, decayTime: 4_000, shortestWindow: 4_000 } as const;

/** Size of the cache model: prefix levels, and engines for each level. */
export const cacheModelLimits = { maximumLevels: 8192, maximumEnginesPerLevel: 8 } as const;

/** Capacity assumed for a pool that the configuration does not (yet) describe. */
export const defaultPoolCapacity = { maximumRunning: 16, prefillTokensPerSecond: 8_000 } as const;

export const roundTripBetweenDataCentres = 1;

/** An organisation's shard has this many times the engines that its share of the standing amounts to. */
export const shardFactor = 2;
/** Engines in the smallest shard, unless that is more than half of the pool, rounded up. */
export const minimumShardSize = 4;
/** Highest standing that shards may put on an engine, relative to an even spread. */
export const maximumShardImbalance = 1.1;

/** Up to this many engines inside a shard, and outside it, are all fallback candidates; more are sampled. */
export const fullComparisonLimit = 16;
/** Maximum number of engines that are homes of one prefix. */
export const maximumHomesPerPrefix = 16;
/** Number of engines after the homes in a prefix's rendezvous order that are fallback candidates. */
export const comparedSuccessors = 2;
/** Number of engines sampled as fallback candidates where there are more than {@link fullComparisonLimit}. */
export const sampledEngines = 2;

/** Other engines are considered once a home's wait exceeds this many times the time to compute the prefix anew. */
export const spillFactor = 1;

/** Share of an engine's capacity that one prefix may need before it gets another home. */
export const maximumLoadPerHome = 1;

/** Share of taken slots above which each further one adds to the cost of an engine. */
export const congestionThreshold = 0.5;
/** Lower bound of the share of free slots by which that cost is divided. */
export const minimumFreeShare = 0.1;

/** A level counts as reused if it returns within the engines' retention with at least this probability. */
export const reuseThreshold = 0.3;
/** Levels whose reuse rate is below this are sampled. */
export const rareReuseThreshold = 0.02;
/** One in this many occurrences of a rarely reused level is recorded. */
export const rareSamplingInterval = 16;
/** Weight of a new sample in the learned reuse rate of levels. */
export const reuseGain = 0.02;

/** How long engines are assumed to keep an unused prefix until answers show it. */
export const initialRetention = 20_000;
export const minimumRetention = 500;
export const maximumRetention = 600_000;
/** Weight of a new answer in the learned retention of its engine. */
export const retentionGain = 0.05;
/** Weight of a new answer in the mean retention of all engines. */
export const meanRetentionGain = 0.05;
/** A cache entry that is younger than this says nothing about retention. */
export const minimumRetentionSampleAge = 50;

/** Confidence that a home has a prefix cached, until answers show it. */
export const initialHomeConfidence = 0.5;
/** Weight of a new answer in that confidence. */
export const homeConfidenceGain = 0.05;
/** Time after an engine's start before other routers are assumed to fill its cache. */
export const homeWarmupDelay = 500;
/** Time over which that confidence then rises to its full value. */
export const homeWarmupTime = 5_000;

/** Weight of a new answer in the learned cost of a prompt token. */
export const prefillGain = 0.1;
/** Fewest computed prompt tokens for which an answer is a sample of that cost. */
export const minimumPrefillSample = 200;
/** Maximum factor between the learned and the configured cost, in either direction. */
export const maximumPrefillCorrection = 4;

/** Mean wait at which a millisecond of prefill is assumed to delay other requests by a millisecond. */
export const pressureReferenceWait = 100;
/** Upper bound of that delay for each millisecond of prefill. */
export const maximumPressure = 4;

/** Share of a prefix that an engine must be expected to have cached for the prefix not to be cold there. */
export const warmPrefixThreshold = 0.5;

/** Prompts with a longer prefill run after the others of their class, many of which would wait for them. */
export const longPrefillThreshold = 200;
/** The lowest priority of engines; 0 is the highest. */
export const lowestPriority = 9;
/** Engine priority for organisations that are over their prefill budget. */
export const overBudgetPriority = 7;
/** Prefill budget of an organisation over time, as a multiple of its share by standing. */
export const prefillBudgetFactor = 2;
/** Burst that a prefill budget allows: the budget of this time. */
export const prefillBurst = 5_000;
/** Minimum of that burst, tokens. */
export const minimumPrefillBurst = 10_000;
/** Batch work starts while its organisation uses less than this share of its concurrent requests. */
export const batchConcurrencyShare = 0.75;
/** Engine priority of work that is late because of a cold prefix, so that it does not delay work in time. */
export const latePriority = 6;
/** Share of the time until the completion deadline within which such work must get its first token. */
export const lateFirstTokenShare = 0.5;

/** Extra weight of a millisecond of lateness, beside its weight as time to the first token. */
export const latePenalty = 2;

/** Time constant with which a load report loses its weight in the forecast of other routers' work. */
export const reportDecayTime = 700;
/** Time constant with which the waits that answers showed decay. */
export const averageWaitDecayTime = 3_000;
/** Weight of a new report or answer in an engine's average load or wait. */
export const averageLoadGain = 0.1;

/** Per-router shares of an engine's free slots that one router may use for interactive work before the next report. */
export const interactiveFreeSlotShares = 2;

/** Prefill time of the pending prompts in a report above which the engine counts as busy. */
export const busyThreshold = 8;
/** Weight of a new report in the share of busy reports. */
export const busyGain = 0.07;
/** Deviation from the shard's mean busy share that does not change an engine's load weight. */
export const loadWeightTolerance = 0.1;
/** Change of the load weight for each unit of deviation beyond the tolerance. */
export const loadWeightGain = 1.5;
/** Load weights change in steps of 1 divided by this. */
export const loadWeightSteps = 10;
export const minimumLoadWeight = 0.3;

/** Share of an engine's slots that batch work may use. */
export const batchSlotShare = 0.5;

/** How long a request is assumed to hold a slot until answers show it. */
export const initialSlotHoldingTime = 1_000;
/** Weight of a new request in the learned slot holding time. */
export const slotHoldingGain = 0.1;

/** How long after its arrival work waits for engines that are not live to report again, if none is live. */
export const engineRecoveryTimeout = 1_000;

/** How often the queue is processed while nothing else triggers it. */
export const queuePollInterval = 20;
/** Maximum number of queued items examined in one pass. */
export const maximumScanned = 64;
/** Maximum number of queued items examined for one organisation and class. */
export const maximumScannedPerOrganisation = 8;
/** Batch work is scheduled as urgently as interactive work once less than this share of its deadline is left. */
export const urgentDeadlineShare = 0.2;

/** Cost of a generated token in prompt tokens, for fairness between organisations. */
export const generatedTokenCost = 4;
/** Generated tokens assumed until the answer reports its usage. */
export const assumedGeneratedTokens = 64;

/** Bounds of Retry-After, seconds. */
export const minimumRetryAfter = 1;
export const maximumRetryAfter = 60;
