/** Limits and weights of counting the memory of running requests. */

/**
 * Factor on the caller's hint of the answer's length, which is accurate at the median and often a factor of four too
 * low. Reserving too much costs little where prompts are long; reserving too little preempts streams.
 */
export const answerHintMargin = 4;

/** Share of the stated maximum that an answer is expected to have if the caller gives no hint. */
export const unhintedAnswerShare = 0.5;

/**
 * Share of a prompt's cached shared parts that is reserved. A part occupies memory once for all requests that use it,
 * and the request that computed it has reserved it in full. That one may end before the others, so that they reserve a
 * part of it; with all of it, popular parts would be counted many times and engines with room passed over.
 */
export const cachedPartShare = 0.25;

/**
 * Share of an engine's memory that reservations may fill. The rest absorbs hints that were too low; a smaller share
 * sends requests to engines that have no room either.
 */
export const usableMemoryShare = 0.95;

/** Time that a request holds memory, milliseconds, assumed until some have ended. */
export const assumedHoldTime = 1_500;

/** Weight of a new observation in the moving average of the hold time. */
export const smoothingFactor = 0.05;

/**
 * Cost of sending a request to a replica without room for it, milliseconds: the pause of the stream that is preempted.
 * It exceeds the home preference and the packing cost, so a replica with room is preferred.
 */
export const preemptionCost = 400;
