/**
 * Backoff of one replica as this router obeys it. `Retry-After` stops all requests of the router that got the answer;
 * after its end they are admitted one by one, faster with each answer. A refusal without a usable `Retry-After` only
 * makes other replicas preferred, for a time that doubles with each refusal.
 */
import type { ReplicaBackoff, ReplicaState } from "../../state/forwarding/replicaState.ts";
import {
  avoidanceTimes,
  brittleBackoff,
  rejectionsPerBackoff,
  recoveryIntervals,
  reopeningJitter,
} from "./constants.ts";

/** @returns Whether nothing may be sent to the replica now. */
export const isBackingOff = ({ backoff }: ReplicaState, now: number): boolean =>
  backoff !== undefined && now < Math.max(backoff.until, backoff.nextAt);

/** @returns Whether other replicas should be preferred. */
export const isAvoided = ({ backoff }: ReplicaState, now: number): boolean =>
  backoff !== undefined && now < backoff.avoidedUntil;

/**
 * @param askedAt - When the request was handed to the client.
 * @returns Whether the request may still be sent to the replica.
 */
export const maySend = ({ backoff }: ReplicaState, askedAt: number, now: number): boolean =>
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

const ensureBackoff = (replica: ReplicaState): ReplicaBackoff => (replica.backoff ??= createBackoff());

/**
 * Applies a backoff that the replica asked for; of overlapping periods the latest end counts.
 *
 * @param duration - Milliseconds.
 * @param random - From 0 to 1, so that routers that were refused together don't return together.
 * @returns Whether this starts a backoff, rather than extends one.
 */
export const startBackoff = (
  replica: ReplicaState,
  duration: number,
  now: number,
  random: number,
): boolean => {
  const backoff = ensureBackoff(replica);
  const isNew = now >= backoff.until;
  const spread = Math.min(reopeningJitter.spread, duration * reopeningJitter.share) * random;
  backoff.startedAt = now;
  backoff.until = Math.max(backoff.until, now + duration + spread);
  backoff.interval = recoveryIntervals.first;
  backoff.hasReopened = false;
  return isNew;
};

/** Notes that the replica refused a request without a usable `Retry-After`. @param random - From 0 to 1. */
export const noteRefusal = (replica: ReplicaState, now: number, random: number): void => {
  const backoff = ensureBackoff(replica);
  const longest = Math.min(avoidanceTimes.longest, avoidanceTimes.first * 2 ** backoff.refusals);
  backoff.refusals += 1;
  backoff.avoidedUntil = Math.max(backoff.avoidedUntil, now + (longest / 2) * (1 + random));
  if (backoff.interval > 0) backoff.interval = recoveryIntervals.first;
};

/**
 * Sends nothing for a while to a brittle replica that turned a request away, so that it turns away few in a second.
 *
 * @param random - From 0 to 1.
 * @returns Whether this starts a backoff; `false` also if the replica is not brittle.
 */
export const spareBrittle = (replica: ReplicaState, now: number, random: number): boolean => {
  const { brittleRejections } = replica;
  if (brittleRejections === undefined) return false;
  const duration = brittleBackoff / Math.max(1, brittleRejections / rejectionsPerBackoff);
  return startBackoff(replica, duration, now, random);
};

/** Prefers other replicas after this one asked another router for backoff; it may have room for this router. */
export const avoidReplica = (replica: ReplicaState, now: number): void => {
  const backoff = ensureBackoff(replica);
  backoff.avoidedUntil = Math.max(backoff.avoidedUntil, now + avoidanceTimes.longest);
};

/** @returns Until when other routers should prefer other replicas, milliseconds on the monotonic clock. */
export const avoidReplicaUntil = ({ ejectedUntil, backoff }: ReplicaState): number =>
  Math.max(ejectedUntil, backoff?.avoidedUntil ?? ejectedUntil);

/** Notes that a request is sent to the replica. */
export const noteSent = ({ backoff }: ReplicaState, now: number): void => {
  if (backoff === undefined || now < backoff.until) return;
  backoff.sentAt = now;
  backoff.nextAt = now + backoff.interval;
  if (backoff.refusals > 0) backoff.avoidedUntil = now + recoveryIntervals.first;
};

/**
 * Notes that the replica accepted a request.
 *
 * @param askedAt - When the request was sent.
 * @returns Whether this ends the backoff; answers to requests that were sent before it began don't.
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
