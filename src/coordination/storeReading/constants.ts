/** Limits of reading the platform's store for others. Durations are milliseconds. */

/**
 * How many routers of a data centre read the store for the others: one may be cut off, and one restarting. Where every
 * router read for itself, 195 routers made 12,000 calls a day of 48 s.
 */
export const storeReaderCount = 3;

/** A held read of a router that others read for: it hears of changes at once, and costs a call in so long. */
export const largeFleetLongPoll = 20_000;

/** Between two looks at whether what is known is fresh enough. */
export const freshnessInterval = 250;

/**
 * Between two questions to readers: what they have read is told at once when it is asked for. At most a share of the
 * time in which a leaving replica may still get work.
 */
export const proofInterval = { longest: 900, drainShare: 0.2 } as const;

/** A question that is not answered within this time goes to another reader with the next turn. */
export const proofPatience = 200;

/**
 * Share of the time in which a key may be served after its end, after which a reader reads again. With a question
 * every 0.9 s what others know is at most half of that time old.
 */
export const readerAgeShare = 0.25;

/** The same after which a router that no reader proves anything to reads by itself. */
export const ownReadAgeShare = 0.6;

/** Share of the time in which a leaving replica may still get work, after which a router reads the registry itself. */
export const ownRegistryAgeShare = 0.75;

/** The same for a router that reads for others and has not looked in its usual time: it did not do so before. */
export const readerRegistryAgeShare = 0.42;

/** Share of the same time between two reads of the registry by a router that reads for others. */
export const readerRegistryIntervalShare = 0.35;

/** Between two reads of its own that failed: doubles up to the longest, so that an outage costs few calls. */
export const ownReadDelays = { first: 400, longest: 3_200 } as const;

/** Failed reads in a row after which a router takes no duties that need the store. */
export const failuresOutOfReach = 3;

/** Between two reads of the registry by a router that no reader proves anything to. */
export const hurryInterval = 1_000;

/** Between two reads of the registry where others read for a router: they tell it of what changes before. */
export const delegatedRegistryInterval = 20_000;

/** By how much waits after failed reads grow where others read for a router. */
export const delegatedRetryFactor = 8;

/** A router takes no duties that need the store if its last own read is older: one held read, and a failed one. */
export const largeFleetMaxReadAge = largeFleetLongPoll * 1.25;
