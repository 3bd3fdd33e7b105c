/** Limits of reading the platform's store for other routers. Durations are milliseconds. */

/**
 * A router whose knowledge of the registry is older than this share of the time in which a draining replica may still
 * get work reads it before it sends a request. The rest covers the way of the request to the replica.
 */
export const usableRegistryAgeShare = 0.85;

/** Longest time for which requests wait for such a read: longer than a slow store takes. */
export const longestRegistryCheck = 250;

/**
 * Number of routers in a data centre that read the store for the others: one may be cut off, and one restarting. If
 * every router read for itself, 195 routers would make 12,000 calls in a simulated day of 48 s.
 */
export const storeReaderCount = 3;

/**
 * Long poll in a large deployment: the store answers at once when a record changes, else after this time, so that
 * polling costs one call in this time.
 */
export const largeFleetLongPoll = 20_000;

/**
 * Interval of checks whether the known records are fresh enough; at most a share of the time in which a draining replica
 * may still get work, since one check may be just missed.
 */
export const freshnessCheckInterval = { longest: 250, drainShare: 0.1 } as const;

/**
 * Between two queries to readers, which answer at once. At most a share of the time in which a draining replica may
 * still get work.
 */
export const proofInterval = { longest: 900, drainShare: 0.2 } as const;

/** A query without an answer after this time is sent to the next reader at the next freshness check. */
export const proofTimeout = 200;

/**
 * Share of the time in which a key may be served after its end, after which a reader reads again. With a query every
 * 0.9 s the proofs of other routers are at most half of that time old.
 */
export const readerReadAgeShare = 0.25;

/** Share of the same time after which a router that gets no proof from a reader reads by itself. */
export const ownReadAgeShare = 0.6;

/** Share of the time in which a draining replica may still get work, after which a router reads the registry itself. */
export const ownRegistryAgeShare = 0.75;

/** The same share for a router that reads for others and has missed its regular read of the registry. */
export const readerRegistryAgeShare = 0.42;

/**
 * Share of the same time after which a reader that is not the first one queries the first reader about the registry.
 * The answer comes before {@link readerRegistryAgeShare}, so that only the first reader reads it regularly.
 */
export const readerQueryAgeShare = 0.25;

/** Share of the same time between two regular reads of the registry by the first of the routers that read for others. */
export const readerRegistryIntervalShare = 0.35;

/** Delay after a failed own read: doubles up to the longest, so that an outage costs few calls. */
export const ownReadRetryDelays = { first: 400, longest: 3_200 } as const;

/** Failed reads in a row after which a router takes no duties that need the store. */
export const failuresUntilUnreachable = 3;

/** Between two reads of the registry by a router that gets no proof from a reader. */
export const ownRegistryReadInterval = 1_000;

/** Between two reads of the registry where others read for a router: they report changes earlier. */
export const delegatedRegistryInterval = 20_000;

/** Factor on the delays after failed reads where others read for a router. */
export const delegatedRetryFactor = 8;

/**
 * In a large deployment a router whose last own read is older takes no duties that need the store. The time covers
 * one long poll and a failed one.
 */
export const largeFleetMaxReadAge = largeFleetLongPoll * 1.25;

/** Records of a topic that a router keeps to hand over, and the most in one answer, which must fit into a datagram. */
export const maxKeptRecords = 64;
export const maxHandedRecords = 8;

/** Between two reads of the operator's records where others read for a router. */
export const delegatedOperatorInterval = 20_000;

/** Between two queries to readers that peers' announcements of newer records cause. */
export const announcedQueryInterval = 100;

/**
 * A router reads the store itself if it knows no newer record this long after a peer has announced one. Covers the
 * store's answer to an open long poll, or a query to a reader and one more after a time-out.
 */
export const announcedReadDelay = 400;

/**
 * A reader whose answer is older than these shares of the bounds has lost the store, and the next query goes to another
 * reader. They cover the shares after which readers read again, one check of freshness and a slow call.
 */
export const staleAnswerShares = { operator: 0.4, registry: 0.52 } as const;
