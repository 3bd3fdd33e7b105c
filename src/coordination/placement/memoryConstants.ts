/** Limits and weights of counting the memory of running requests. */

/** Factor on the caller's hint of the answer's length, which is accurate at the median and often a factor of four off. */
export const answerHintMargin = 2;

/** Share of the stated maximum that an answer is expected to have if the caller gives no hint. */
export const unhintedAnswerShare = 0.5;

/**
 * Share of a prompt's cached shared parts that is reserved. A part occupies memory once for all requests that use it,
 * and the request that computed it has reserved it in full; that one may end before the others. With 0, 0.25, 0.5 and 1,
 * twelve simulated engines preempt 27, 17, 15 and 38 requests, and 0.949, 0.961, 0.954 and 0.940 of the long prompts are
 * answered in time and without a pause.
 */
export const cachedPartShare = 0.25;

/**
 * Share of an engine's memory that reservations may fill, since hints of answer lengths are often wrong. With 0.9, 0.95
 * and 1, twelve simulated engines preempt 19, 11 and 17 requests.
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
