/** Limits of keeping organisations' limits over all routers. Durations are milliseconds. */

/** Between two looks at who keeps which count. */
export const lookInterval = 250;

/**
 * A router that was not heard for so long keeps no count any more: the next one takes over. Longer than the time after
 * which a router that hears too few others stops granting, so that two never grant at once.
 */
export const takeoverSilence = 2_500;

/** Data centres that were not heard for so long count as cut off from this router. */
export const quorumSilence = 1_500;

/**
 * A router that has just started need not wait so long once so many of those that come next have answered it: they have
 * heard of it, and whichever kept the count keeps it no more. With the wait alone, most requests of large organisations
 * were refused for 2.5 s after most routers had restarted together.
 */
export const answersBeforeActing = 5;

/** Those that come after a keeper ask it for a sign of life when it was silent for so long. */
export const probeSilence = 700;

/**
 * How many of those that come first for an organisation look after its count, and how many are asked for one request;
 * further ones where all of these are silent.
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

/** A router that did not answer, or keeps no count, is passed over for so long. */
export const passedOver = 400;

/**
 * An organisation is far from its limit if so much of what may be used at once is left, in hundredths. Its requests are
 * passed on while the question is under way: asking costs them no wait.
 */
export const roomyBurst = 50;

/** What an answer says of the room is believed for so long. */
export const roomMemory = 1_500;

/**
 * Shares of what all routers together may pass on beyond the limit. Keepers add theirs to the burst: prompts come in
 * bunches and some are larger than a small organisation's whole burst, which left a debt that refused everything after
 * it. A keeper that takes over begins with the second. Routers that can't ask use the third. The rest is for requests
 * that are passed on while they are asked for.
 */
export const overshootShares = { keeper: 0.4, beginning: 0.15, unasked: 0.3 } as const;

/**
 * A router that can't ask goes on for so long at the pace at which it was granted before: as much as a cut-off data
 * centre passes on in that time fits into the overshoot. Where the keeper is lost nobody grants the rest meanwhile.
 */
export const continuation = 3_000;

/**
 * Near its limit it goes on at this share of that pace: a data centre that is cut off may have a third of an
 * organisation's use, and the others may take the whole rate meanwhile.
 */
export const pressedShare = 0.5;

/** Parts of the window in which use is counted: the older a count, the coarser its age. */
export const bucketsPerWindow = 16;

/** Width of the random spread of times to come back, as a share of them: callers refused together don't return so. */
export const returnSpread = 0.3;

/** The shortest time to come back. */
export const shortestReturn = 50;
