/**
 * Limits and weights of counting the memory of running requests. The figures of simulated engines were measured with a
 * shortlist that was widened where memory was short, which routers no longer do.
 */

/**
 * Factor on the caller's hint of the answer's length, which is accurate at the median and often a factor of four off.
 * Reserving too much costs little where prompts are long: where all hints are a quarter of the answer, twelve simulated
 * engines preempt 12 requests with a factor of 2 and 3 with a factor of 4, of 27 without reservations.
 */
export const answerHintMargin = 4;

/** Share of the stated maximum that an answer is expected to have if the caller gives no hint. */
export const unhintedAnswerShare = 0.5;

/**
 * Share of a prompt's cached shared parts that is reserved. A part occupies memory once for all requests that use it,
 * and the request that computed it has reserved it in full; that one may end before the others. With 0, 0.25 and 1,
 * twelve simulated engines preempt 26.5, 17.3 and 37.5 requests in the mean of four runs (hint margin 2).
 */
export const cachedPartShare = 0.25;

/**
 * Share of an engine's memory that reservations may fill, since hints of answer lengths are often wrong. With 0.9, 0.95
 * and 1, twelve simulated engines preempt 18.5, 10.8 and 17.3 requests in the mean of four runs (hint margin 2).
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
