/** What the predictive scheduler is tuned with; docs/operators/placement.md says what each trades. */

/** The heat sketch: keys kept, decay and shortest window in milliseconds. */
export const heatLimits = { maximumKeys: 4096, memory: 4_000, shortestWindow: 4_000 } as const;

/** The cache picture: levels kept, and engines kept for each. */
export const pictureLimits = { maximumLevels: 8192, maximumEnginesPerLevel: 8 } as const;

/** What is assumed of a pool that the configuration does not (yet) describe. */
export const unknownPool = { maximumRunning: 16, prefillTokensPerSecond: 8_000 } as const;

/** One way there and back between data centres, milliseconds. */
export const roundTripBetweenDataCentres = 1;

/** An organisation's shard: engines for each one that its standing alone would give it, and the fewest, at most half. */
export const shardFactor = 2;
export const smallestShard = 4;
/** Standing that shards may put on an engine, against an even spread. */
export const shardImbalance = 1.1;

/** Pools up to this size are compared whole. */
export const compareAllUpTo = 16;
/** Most engines that one prefix is spread over on purpose. */
export const maximumWidth = 16;
/** Engines next in a prefix's order that are compared beside its homes. */
export const nextInOrder = 2;
/** Least loaded engines of a sample that are compared beside a prefix's homes. */
export const sampledEngines = 2;

/** Other engines are compared where a home's wait is so many times what computing the prefix anew takes. */
export const spillFactor = 1;

/** Share of an engine's capacity that one prefix may need before it gets one more home. */
export const wideningLoad = 1;

/** Share of an engine's slots from which a taken one counts against it, and the least share of free ones. */
export const crowdedFrom = 0.5;
export const crowdedLeast = 0.1;

/** A level is reused if it returns within the engines' retention with at least this probability. */
export const reuseThreshold = 0.3;
/** Levels that return more rarely than this are counted once in so many times. */
export const rareReuse = 0.02;
export const rareCounting = 16;
/** Weight of one sighting in what is learned about the levels' reuse. */
export const reuseGain = 0.02;

/** How long engines are taken to keep an unused prefix before answers tell, milliseconds; and its bounds. */
export const firstRetention = 20_000;
export const shortestRetention = 500;
export const longestRetention = 600_000;
/** Weight of one answer in the learned retention. */
export const retentionGain = 0.05;
/** Weight of one answer in what is taken of all engines together. */
export const commonRetentionGain = 0.05;
/** A younger belief says nothing about retention, milliseconds. */
export const youngestBelief = 50;

/** Confidence that a home holds a prefix before answers tell; the weight of one answer. */
export const firstHomeConfidence = 0.5;
export const homeConfidenceGain = 0.05;
/** From when and over how long other routers are taken to fill the cache of an engine that has just started. */
export const homeSettlingFrom = 500;
export const homeSettling = 5_000;

/** Weight of one answer in the learned cost of a prompt token. */
export const prefillGain = 0.1;
/** Fewest computed tokens from which an answer says something about that cost. */
export const fewestPrefillTokens = 200;
/** Learned costs stay within this factor of the configured one. */
export const prefillCorrection = 4;

/** Mean wait at which a millisecond of prefill is taken to delay others by as much; and the most of it. */
export const pressureWait = 100;
export const highestPressure = 4;

/** Part of a prefix that an engine has to be believed to hold for the prefix not to be cold. */
export const heldFrom = 0.5;

/** A prompt that takes longer to compute goes after the class's others, milliseconds: many would wait for it. */
export const longPrefill = 200;
/** The engines' last priority. */
export const lowestPriority = 9;
/** Engine priority of an organisation's work while it has computed more than its share. */
export const overSharePriority = 7;
/** What an organisation may compute over time, in parts that its standing gives it. */
export const computingShare = 2;
/** What an organisation may compute at once: so many milliseconds of its share, and at least so many tokens. */
export const computingBurst = 5_000;
export const smallestComputingBurst = 10_000;
/** Batch work starts while its organisation uses no more than this part of its concurrent requests. */
export const batchConcurrency = 0.75;
/** Engine priority of work that has to compute a cold prefix and is late anyway: it delays nobody in time. */
export const latePriority = 6;
/** Part of the time until the last token is due that such work may wait for its first. */
export const lateShare = 0.5;

/** What a millisecond after the deadline weighs against one before it. */
export const latePenalty = 2;

/** How fast a load report loses its meaning for what others do, milliseconds. */
export const reportMemory = 700;
/** How fast waits that answers showed are forgotten, milliseconds. */
export const usualWaitMemory = 3_000;
/** Weight of one report or answer in an engine's usual load or wait. */
export const usualLoadGain = 0.1;

/** Routers' parts of an engine's free slots that one router may take for interactive work before the next report. */
export const freeSlotsTaken = 2;

/** Pending prompts from which a report counts as busy, milliseconds; the weight of one report. */
export const busyWait = 8;
export const busyGain = 0.07;
/** How strongly homes move from engines that are busier than the others by more than a tolerance; weights change by whole steps. */
export const balanceTolerance = 0.1;
export const balanceGain = 1.5;
export const balanceSteps = 10;
export const leastBalance = 0.3;

/** Share of an engine's slots that batch work may fill. */
export const batchShare = 0.5;

/** How long a request holds a slot before answers tell, milliseconds; and the weight of one answer. */
export const firstHoldingTime = 1_000;
export const holdingGain = 0.1;

/** How long after its arrival work waits where no engine is live but some may report again, milliseconds. */
export const enginePatience = 1_000;

/** How often waiting work is looked at again while nothing else happens, milliseconds. */
export const queueInterval = 20;
/** Most pieces of waiting work looked at in one go, and of one organisation and class. */
export const scannedWaiting = 64;
export const scannedPerOrganisation = 8;
/** Batch work whose time runs out counts as interactive; share of its deadline that is then left. */
export const urgentShare = 0.2;

/** Cost of a generated token in tokens of prompt, for fairness between organisations. */
export const generatedTokenCost = 4;
/** Generated tokens assumed before an answer tells. */
export const assumedGeneratedTokens = 64;

/** Bounds of Retry-After, seconds. */
export const shortestRetryAfter = 1;
export const longestRetryAfter = 60;
