/**
 * Backoff of one replica as this router keeps to it. `Retry-After` stops all requests of the router that got the answer;
 * after its end they are admitted one by one, faster with each answer. A refusal without a usable `Retry-After` only
 * makes other replicas preferred, for a time that doubles with each.
 */
import type { ReplicaBackoff, ReplicaState } from "../../state/forwarding/replicaState.ts";
import { avoidance, recoveryIntervals, reopening } from "./constants.ts";

/** @returns Whether nothing may be sent to the replica now. */
export const isBackingOff = ({ backoff }: ReplicaState, now: number): boolean =>
  backoff !== undefined && now < Math.max(backoff.until, backoff.nextAt);

/** @returns Whether other replicas are to be preferred. */
export const isAvoided = ({ backoff }: ReplicaState, now: number): boolean =>
  backoff !== undefined && now < backoff.avoidedUntil;

/** @returns Whether a request that was handed over at a moment may still leave for the replica. */
export const mayLeave = ({ backoff }: ReplicaState, askedAt: number, now: number): boolean =>
  backoff === undefined || (now >= backoff.until && askedAt >= backoff.startedAt);

/** @returns When the replica may be sent a request again, milliseconds on the monotonic clock. */
export const reopensAt = ({ backoff }: ReplicaState): number =>
  backoff === undefined ? Number.NEGATIVE_INFINITY : Math.max(backoff.until, backoff.nextAt);

const createBackoff = (): ReplicaBackoff => ({
  startedAt: Number.NEGATIVE_INFINITY,
  until: Number.NEGATIVE_INFINITY,
  nextAt: Number.NEGATIVE_INFINITY,
  interval: 0,
  hasReopened: true,
  sentAt: Number.NEGATIVE_INFINITY,
  avoidedUntil: Number.NEGATIVE_INFINITY,
  refusals: 0,
});

const open = (replica: ReplicaState): ReplicaBackoff => (replica.backoff ??= createBackoff());

/**
 * The replica asked for backoff; of overlapping periods the latest end counts.
 *
 * @param random - From 0 to 1: routers that were turned away together don't return together.
 * @returns Whether it begins one, rather than extends it.
 */
export const startBackoff = (
  replica: ReplicaState,
  duration: number,
  now: number,
  random: number,
): boolean => {
  const backoff = open(replica);
  const isNew = now >= backoff.until;
  const spread = Math.min(reopening.spread, duration * reopening.share) * random;
  backoff.startedAt = now;
  backoff.until = Math.max(backoff.until, now + duration + spread);
  backoff.interval = recoveryIntervals.first;
  backoff.hasReopened = false;
  return isNew;
};

/** The replica turned a request away without a usable period. @param random - From 0 to 1. */
export const noteRefusal = (replica: ReplicaState, now: number, random: number): void => {
  const backoff = open(replica);
  const longest = Math.min(avoidance.longest, avoidance.first * 2 ** backoff.refusals);
  backoff.refusals += 1;
  backoff.avoidedUntil = Math.max(backoff.avoidedUntil, now + (longest / 2) * (1 + random));
  if (backoff.interval > 0) backoff.interval = recoveryIntervals.first;
};

/** The replica asked another router for backoff: a preference, since it may have room for this one. */
export const avoidReplica = (replica: ReplicaState, now: number): void => {
  const backoff = open(replica);
  backoff.avoidedUntil = Math.max(backoff.avoidedUntil, now + avoidance.longest);
};

/** @returns When other routers may stop preferring other replicas, milliseconds on the monotonic clock. */
export const avoidReplicaUntil = ({ ejectedUntil, backoff }: ReplicaState): number =>
  Math.max(ejectedUntil, backoff?.avoidedUntil ?? ejectedUntil);

/** A request is sent to the replica. */
export const noteSent = ({ backoff }: ReplicaState, now: number): void => {
  if (backoff === undefined || now < backoff.until) return;
  backoff.sentAt = now;
  backoff.nextAt = now + backoff.interval;
  if (backoff.refusals > 0) backoff.avoidedUntil = now + recoveryIntervals.first;
};

/**
 * The replica accepted a request.
 *
 * @param askedAt - When the request was sent.
 * @returns Whether this ends its backoff; answers to what was sent before don't.
 */
export const noteAccepted = (replica: ReplicaState, askedAt: number, now: number): boolean => {
  const { backoff } = replica;
  if (backoff === undefined || now < backoff.until || askedAt < backoff.startedAt) return false;
  const isFirst = !backoff.hasReopened;
  backoff.hasReopened = true;
  backoff.refusals = 0;
  backoff.avoidedUntil = Number.NEGATIVE_INFINITY;
  backoff.interval /= 2;
  backoff.nextAt = backoff.sentAt + backoff.interval;
  if (backoff.interval < recoveryIntervals.shortest) replica.backoff = undefined;
  return isFirst;
};
