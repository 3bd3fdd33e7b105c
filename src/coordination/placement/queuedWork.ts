/** The work that is queued at a replica, as waiting time. */
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import {
  organisationTokensAt,
  priorities,
  tokensAhead,
  totalRequests,
} from "../../state/forwarding/replicaState.ts";
import { delayPerRunningRequest } from "../forwarding/constants.ts";

/** Durations are milliseconds. */
export interface QueuedWork {
  /** Time that the replica takes for the prompts of all priorities that have no first token yet. */
  readonly total: number;
  /** The part of it for prompts of the request's organisation; 0 where organisations are not counted. */
  readonly organisation: number;
  /** Time that the replica takes to compute the request's own prompt. */
  readonly own: number;
  /** Whether the replica would start on the request without waiting for another one to end. */
  readonly hasFreeSlots: boolean;
}

/** The queue of replicas without prompts, which do not report any. */
export const noQueuedWork: QueuedWork = { total: 0, organisation: 0, own: 0, hasFreeSlots: true };

/**
 * @param organisation - Key of the request's organisation.
 * @param tokens - Prompt tokens of the request that the replica is expected to compute.
 * @param rate - Prompt tokens that the replica computes per millisecond.
 */
export const describeQueue = (
  replica: ReplicaState,
  organisation: number,
  tokens: number,
  rate: number,
): QueuedWork => {
  const { slots } = replica.entry;
  const beyondSlots = Math.max(0, totalRequests(replica) + 1 - slots);
  const total = tokensAhead(replica, priorities - 1) / rate + beyondSlots * slots * delayPerRunningRequest;
  return {
    total,
    organisation: Math.min(total, organisationTokensAt(replica, organisation) / rate),
    own: Math.max(0, tokens) / rate,
    hasFreeSlots: beyondSlots === 0,
  };
};
