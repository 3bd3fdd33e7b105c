/**
 * Fair shares: decides whether a prompt may join the queue of a replica, by what its organisation and the others have
 * queued there.
 *
 * Handles one or a few organisations that send many times their usual load, and bursts of one request class. A common
 * limit alone lets a flood fill the queue, and every other organisation is refused as often as the flooding one. Here
 * an organisation may queue as much as is still free (a dynamic threshold): one flooding organisation fills at most half
 * of the queue, two at most two thirds, and the others find room. No rates, windows or number of organisations need to
 * be known, and a queue is never empty because of it.
 */
import { toleratedQueueShare, usefulAnswerShare } from "../forwarding/constants.ts";
import type { QueuedWork } from "../placement/queuedWork.ts";
import { lessUrgentQueueShare, organisationWeight, returnReserve } from "./constants.ts";
import type { AnswerPrediction } from "./loadShedding.ts";

/**
 * Why a request is refused:
 *
 * - `late`: its answer would start too late, or after its caller has stopped waiting.
 * - `share`: its organisation has queued its share.
 * - `urgent_work`: more urgent requests behind it would be late.
 * - `reserved`: what is left is reserved for requests that were refused before and return.
 */
export type RefusalReason = "late" | "share" | "urgent_work" | "reserved";

/** The load at the best replica that a prompt may be sent to. */
export interface QueueView {
  readonly prediction: AnswerPrediction;
  readonly queued: QueuedWork;
  /** Time that a typical prompt of the request's class takes to compute, milliseconds. */
  readonly typicalComputing: number;
  /** Shortest latency objective of the more urgent request classes, milliseconds; infinity if there are none. */
  readonly urgentObjective: number;
  /** Whether the capacity reserved for returning requests is closed to this one. */
  readonly isReserveClosed: boolean;
  /** Whether its caller was refused and promised a later time than now. */
  readonly isEarly: boolean;
}

/** The limits of one request class at a replica, milliseconds. */
export interface QueueLimits {
  /** The queue up to which prompts are admitted. */
  readonly capacity: number;
  /** The queue up to which a replica does not count as contended. */
  readonly tolerated: number;
}

/**
 * @param threshold - Multiple of the latency objective within which the answer must start.
 * @param urgentObjective - Shortest latency objective of the more urgent request classes, milliseconds.
 */
export const queueLimitsOf = (
  objective: number,
  threshold: number,
  urgentObjective: number,
): QueueLimits => ({
  capacity: Math.min(objective * threshold, urgentObjective * lessUrgentQueueShare),
  tolerated: Math.min(objective, urgentObjective) * toleratedQueueShare,
});

/**
 * The time that an organisation's prompts may queue at a replica.
 *
 * @param threshold - Multiple of the latency objective within which the answer must start.
 * @returns Milliseconds.
 */
const organisationShare = ({ prediction, queued, urgentObjective }: QueueView, threshold: number): number => {
  const { capacity } = queueLimitsOf(prediction.objective, threshold, urgentObjective);
  return Math.max(0, organisationWeight * (capacity - queued.total));
};

/**
 * The time that an organisation would queue with one more typical prompt. The prompt itself doesn't count where the
 * organisation has less queued than that: counting it, a long prompt after one short one would exceed any share.
 */
const organisationWaitWith = ({ queued: { organisation }, typicalComputing }: QueueView): number =>
  organisation < typicalComputing ? organisation : organisation + typicalComputing;

/**
 * @param usable - The share of the capacity that the request may use.
 * @returns Why the request is refused if it may use only this share; `undefined` if it is admitted.
 */
const decideWithin = (view: QueueView, threshold: number, usable: number): RefusalReason | undefined => {
  const { prediction, queued, urgentObjective } = view;
  const { queueWait, objective } = prediction;
  const typicalWait = queueWait + view.typicalComputing;
  const isLate = typicalWait > objective * threshold * usable && queueWait > objective * toleratedQueueShare;
  if (isLate) return "late";
  // What the prompt itself takes doesn't count: it takes that at any replica.
  if (queued.total > urgentObjective * lessUrgentQueueShare * usable) return "urgent_work";
  const { tolerated } = queueLimitsOf(objective, threshold, urgentObjective);
  if (queued.total <= tolerated) return undefined;
  return organisationWaitWith(view) > organisationShare(view, threshold) * usable ? "share" : undefined;
};

/**
 * Decides by the load at the best replica. Nothing is refused while the replica has free slots and nothing is queued.
 *
 * @param threshold - Multiple of the latency objective within which the answer must start.
 * @returns Why the request is refused; `undefined` if it is admitted.
 */
export const decideAdmission = (view: QueueView, threshold: number): RefusalReason | undefined => {
  const { prediction, queued } = view;
  if (queued.hasFreeSlots && queued.total <= 0) return undefined;
  if (prediction.wait > prediction.remaining * usefulAnswerShare) return "late";
  const { tolerated } = queueLimitsOf(prediction.objective, threshold, view.urgentObjective);
  if (view.isEarly && queued.total > tolerated) return "reserved";
  const reason = decideWithin(view, threshold, 1);
  if (reason !== undefined || !view.isReserveClosed) return reason;
  return decideWithin(view, threshold, 1 - returnReserve) === undefined ? undefined : "reserved";
};

/** @returns Milliseconds until there is room for a refused request again: half of what it may queue behind is done. */
export const timeToDrain = (view: QueueView, threshold: number, reason: RefusalReason): number => {
  const { prediction, queued, typicalComputing, urgentObjective } = view;
  const { capacity } = queueLimitsOf(prediction.objective, threshold, urgentObjective);
  if (reason === "share")
    return queued.organisation + typicalComputing - organisationShare(view, threshold) / 2;
  if (reason === "urgent_work") return queued.total - capacity / 2;
  return prediction.queueWait - (prediction.objective * threshold) / 2;
};
