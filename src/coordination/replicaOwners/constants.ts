/** Limits of asking the owners of replicas. Durations are milliseconds. */

/** How many of those that come first for a replica are tried as its owner; with all of them silent nobody is asked. */
export const ownersTried = 3;

/** Between two looks at which routers are live: a lost owner shows by its silence before. */
export const memberInterval = 250;

/**
 * An owner that did not answer in time is passed over for so long; doubles with each further silence. A datagram that
 * is lost costs a moment with two owners, of which each knows a part of the work.
 */
export const silentOwnerTimes = { first: 500, longest: 8_000 } as const;

/**
 * Longest wait for an answer: so many times what answers took of late, between two bounds. A round trip in a data
 * centre takes under 1 ms; small VMs answer after up to a tenth of a second's share of their processor.
 */
export const answerPatience = { factor: 4, shortest: 8, longest: 40 } as const;

/** Until answers have shown otherwise: how long one takes. */
export const assumedAnswerTime = 3;

/** Part of a new observation in the average time of an answer. */
export const answerTimeGain = 0.1;

/**
 * Replicas that are asked about for one request: homes of its deepest shared part, holders that are known, others at
 * random; and how many others before a request is turned away, since somewhere else it may not be late.
 */
export const queriedReplicas = { homes: 2, holders: 1, others: 1, wide: 8 } as const;

/** Versions of the weights of which replicas are asked about: during a roll-out few run the newest. */
export const queriedVersions = 2;

/** The same for plain services, whose replicas keep nothing: near ones, and others. */
export const queriedPlainReplicas = { near: 1, others: 2 } as const;

/** Ends of prompts and requests that come within so short a time share a report. */
export const reportGathering = 20;

/** Between two reports of work that has not changed: what an owner that has just taken over lacks at most. */
export const reportRepetition = 1_000;

/** Work that was not reported again for so long is over: two repetitions may get lost. */
export const reportMemory = 3_200;

/** News of where prompt parts are, in one report at most; older news is left out. */
export const mostHoldersTold = 40;

/** Holders of one part that an answer names at most. */
export const holdersNamed = 3;
