/** Limits of what one router keeps for all. Durations are milliseconds. */

/** Between two looks at who keeps what. */
export const lookInterval = 250;

/**
 * A router that was not heard for so long keeps nothing any more: the next one takes over. Longer than the time after
 * which a router that hears too few others stops granting, so that two never grant at once.
 */
export const takeoverSilence = 2_500;

/** Data centres that were not heard for so long count as cut off from this router. */
export const quorumSilence = 1_500;

/**
 * A router that has just started need not wait so long once so many of those that come next have answered it: they have
 * heard of it, and whichever kept the count keeps it no more. With the wait alone, most requests of large organisations
 * would be refused for that time after most routers have restarted together.
 */
export const answersBeforeActing = 5;

/** Those that come after a keeper ask it for a sign of life when it was silent for so long. */
export const probeSilence = 700;

/** What nobody has asked about for so long is looked after no more by those that come after its keeper. */
export const watchMemory = 30_000;

/**
 * How many of those that come first look after what one of them keeps, and how many are asked at once; further ones
 * where all of these are silent.
 */
export const keepersTried = 3;

/** A process whose own timer came so late stood still: what it believed of others is old. */
export const standstill = 1_000;

/** Longest wait for an answer: so many times what answers took of late, between two bounds. */
export const answerPatience = { factor: 4, shortest: 15, longest: 80 } as const;

/** Until answers have shown otherwise: how long one takes. */
export const assumedAnswerTime = 5;

/** Part of a new observation in the average time of an answer. */
export const answerTimeGain = 0.1;

/** A router that did not answer, or doesn't keep what it was asked about, is passed over for so long. */
export const passedOver = 400;
