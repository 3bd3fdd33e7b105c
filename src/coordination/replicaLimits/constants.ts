/** Limits of keeping to what replicas name as theirs. Durations are milliseconds. */

/** A limit of 0 is tried so seldom, requests a second: the end of a limit shows in an answer only. */
export const leastRate = 0.1;

/** Limits from here on bind nothing that a replica ever gets, requests a second. */
export const bindingRate = 10_000;

/** What may come at once after a pause, besides one request: what the limit allows in so long. */
export const burstTime = 500;

/** Answers in a row that name no limit before one that named it is doubted: a replica may name it in some only. */
export const doubtedAfter = 1;

/** By so much the rate rises with each further answer that names none. */
export const doubtFactor = 2;

/** Answers in a row without a limit that end it. */
export const endedAfter = 5;

/** An ended limit is remembered for so long: a router that still believes it is told, and doesn't revive it. */
export const endMemory = 600_000;

/** A grant that was not used within so long is void: the process may have stood still in between. */
export const grantLife = 1_000;

/** The shortest time for which a replica that had no room is not asked for again. */
export const shortestPause = 20;

/** Where no keeper answers, a router sends on its own so large a part of an even part of the limit. */
export const unaskedShare = 0.5;

/** Without an answer of a keeper a replica is passed over for so long. */
export const unansweredPause = 400;

/** Replicas that had no room for one request before it goes on among those without a limit. */
export const mostRefusals = 3;

/** Replicas at which a request that has no other place books a turn, one after another. */
export const mostBookings = 2;

/** Share of the latency objective for which a request waits for a turn that surely comes. */
export const bookingShare = 0.5;

/**
 * What a replica with a limit counts more than another one, milliseconds: the few requests that it takes are to be those
 * that gain most there. Less, the longer nothing was heard of the limit: its end shows in an answer only.
 */
export const limitPenalty = { cost: 30, decayTime: 2_000 } as const;

/** Requests turned away within so long come back spread over the time in which there is room for as many. */
export const returnWindow = 4_000;

/** Parts of that window: the older a count, the coarser its age. */
export const returnBuckets = 8;

/** The longest time after which a caller is told to come back. */
export const longestReturn = 10_000;

/** The shortest. */
export const shortestReturn = 50;

/** What a router told of a limit is passed on to those that ask for so long after an answer named it. */
export const announcedLimitMaxAge = 10_000;
