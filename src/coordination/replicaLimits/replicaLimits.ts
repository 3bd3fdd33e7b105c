/**
 * Enforces, over all routers, the rate limits that replicas report in their answers. One router coordinates the limit of
 * a replica. It is asked for a grant before each request to that replica, whatever kind of request it is and however
 * often it was tried before.
 *
 * A limit is one number for all routers together and may be below one request a second, so that it can't be divided
 * among them. If routers only notified one another afterwards, they would have sent many times the limit by then.
 * Replicas without a limit cost nothing.
 */
import type { ReplicaLimitQuery } from "../../protocol/forwarding/limitMessage.ts";
import type { AnswerSpan, ReportedLimit } from "../../state/forwarding/reportedLimit.ts";
import { supersedes, toReportedSpan, toReportedLimitMessage } from "../../state/forwarding/reportedLimit.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import type { KeyCoordination } from "../coordinators/keyCoordination.ts";
import type { TokenBucket } from "../coordinators/tokenBucket.ts";
import { createTokenBucket } from "../coordinators/tokenBucket.ts";
import type { SlidingWindowCounter } from "../slidingWindowCounter.ts";
import { createSlidingWindowCounter } from "../slidingWindowCounter.ts";
import {
  grantLifetime,
  localGrantShare,
  maxRetryAfter,
  minRate,
  minRetryAfter,
  minSkipDuration,
  refusalBuckets,
  refusalWindow,
  unansweredSkipDuration,
} from "./constants.ts";
import { createLimitCoordinator } from "./limitCoordinator.ts";
import { runInBackground } from "../../state/backgroundTasks.ts";

export interface ReplicaLimitsDependencies {
  readonly coordination: KeyCoordination;
  readonly replicas: ReplicaTable;
  readonly clock: Clock;
  /** Announces a limit to other routers, which may not know it yet. */
  readonly announce: (replica: ReplicaState) => void;
  /** A number from 0 to 1. */
  readonly random: () => number;
}

/** Permission to send one request to a replica with a limit. Milliseconds on the monotonic clock. */
export interface Grant {
  readonly from: number;
  /** The request must have been sent by then. */
  readonly until: number;
}

/** The limits of replicas, as one router observes and obeys them. */
export interface ReplicaLimits {
  /**
   * Acquires a grant for one request.
   *
   * @param maxWait - The longest time for which the request may wait, milliseconds.
   * @returns The grant, or `undefined` if there is none; no promise where the replica has no limit.
   */
  readonly acquire: (replica: ReplicaState, maxWait: number) => Promise<Grant | undefined> | undefined;
  /** An answer reported a limit. */
  readonly observeLimit: (replica: ReplicaState, reported: ReportedLimit) => void;
  /** An answer reported no limit. */
  readonly observeNoLimit: (replica: ReplicaState, span: AnswerSpan) => void;
  /** @returns Milliseconds after which to retry a request for which the limits of a service's replicas leave no room. */
  readonly comeBackAfter: (service: string) => number;
}

const millisecondsPerSecond = 1_000;

const writeLog = createLogger("replicaLimits");

/** Limits what one router sends to a replica while no coordinator answers. */
const createLocalBucket = (clock: Clock): TokenBucket => createTokenBucket(clock, 0);

/** Creates the limits of replicas for one router, and adds its role as a coordinator of limits. */
export const createReplicaLimits = (dependencies: ReplicaLimitsDependencies): ReplicaLimits => {
  const { coordination, replicas, clock, random } = dependencies;
  coordination.addRoles({
    replicaQuestion: createLimitCoordinator({ coordinators: coordination.coordinators, replicas, clock }),
  });
  /** By id of a replica. */
  const localBuckets = new Map<string, TokenBucket>();
  /** By service: requests that were refused. */
  const refusedRequests = new Map<string, SlidingWindowCounter>();

  replicas.subscribe(({ id }, departure) => {
    if (departure !== undefined && departure !== "draining") localBuckets.delete(id);
  });

  const createQuery = (
    { entry }: ReplicaState,
    reported: ReportedLimit,
    fields: Pick<ReplicaLimitQuery, "limitRemovedAt" | "wantsGrant" | "timeout">,
  ): ReplicaLimitQuery => ({
    kind: "replicaQuestion",
    number: 0,
    replica: entry.id,
    reportedLimit: toReportedLimitMessage(reported, clock.monotonic()),
    ...fields,
  });

  const endLimit = (replica: ReplicaState): void => {
    if (replica.limit === undefined) return;
    replica.limit = undefined;
    replica.limitEndedAt = clock.monotonic();
    replica.limitedUntil = Number.NEGATIVE_INFINITY;
    localBuckets.delete(replica.entry.id);
    writeLog("limit_ends", { replica: replica.entry.id });
  };

  /** Reports an observation to the coordinator, which may know that the limit has ended. */
  const report = async (
    replica: ReplicaState,
    reported: ReportedLimit,
    missing?: AnswerSpan,
  ): Promise<void> => {
    const limitRemovedAt = missing === undefined ? undefined : toReportedSpan(missing, clock.monotonic());
    const query = createQuery(replica, reported, { limitRemovedAt, wantsGrant: false, timeout: 0 });
    const answer = await coordination.query(replica.entry.id, query);
    if (answer?.verdict === "unlimited") endLimit(replica);
  };

  const grantAfter = (wait: number): Grant => {
    const from = clock.monotonic() + wait;
    return { from, until: from + grantLifetime };
  };

  const skip = (replica: ReplicaState, wait: number): void => {
    replica.limitedUntil = clock.monotonic() + Math.max(minSkipDuration, wait);
  };

  /** Used while no coordinator answers: an even part of half the limit stays within the allowed overshoot. */
  const grantLocally = (replica: ReplicaState, { perSecond }: ReportedLimit): Grant | undefined => {
    const { id } = replica.entry;
    const bucket = localBuckets.get(id) ?? createLocalBucket(clock);
    localBuckets.set(id, bucket);
    const ratePerSecond = (Math.max(minRate, perSecond) * localGrantShare) / coordination.countRouters();
    const wait = bucket.take(1, { ratePerSecond, capacity: 1 });
    if (wait === undefined) return grantAfter(0);
    skip(replica, unansweredSkipDuration);
    return undefined;
  };

  const requestGrant = async (
    replica: ReplicaState,
    reported: ReportedLimit,
    maxWait: number,
  ): Promise<Grant | undefined> => {
    const query = createQuery(replica, reported, {
      limitRemovedAt: undefined,
      wantsGrant: true,
      timeout: Math.max(0, Math.floor(maxWait)),
    });
    const answer = await coordination.query(replica.entry.id, query);
    if (answer === undefined) return grantLocally(replica, reported);
    localBuckets.delete(replica.entry.id);
    if (answer.verdict === "unlimited") endLimit(replica);
    if (answer.verdict !== "refused") return grantAfter(answer.wait);
    skip(replica, answer.wait);
    return undefined;
  };

  const countRefused = (service: string): number => {
    const count =
      refusedRequests.get(service) ?? createSlidingWindowCounter(clock, refusalWindow, refusalBuckets);
    refusedRequests.set(service, count);
    count.add(1);
    return count.sum();
  };

  return {
    acquire: (replica, maxWait) =>
      replica.limit === undefined ? undefined : requestGrant(replica, replica.limit, maxWait),
    observeLimit: (replica, reported) => {
      const known = replica.limit;
      if (known === undefined || supersedes(reported, known)) replica.limit = reported;
      if (known === undefined) {
        writeLog("limit_named", { replica: replica.entry.id, perSecond: reported.perSecond });
        dependencies.announce(replica);
      }
      runInBackground("reportLimit", () => report(replica, reported), replica.entry.id);
    },
    observeNoLimit: (replica, span) => {
      const known = replica.limit;
      if (known !== undefined && span.askedAt >= known.receivedAt)
        runInBackground("reportLimit", () => report(replica, known, span), replica.entry.id);
    },
    comeBackAfter: (service) => {
      const limited = replicas.serving(service).filter(({ limit }) => limit !== undefined);
      const soonest = Math.min(...limited.map(({ limitedUntil }) => limitedUntil)) - clock.monotonic();
      const rate = limited.reduce((sum, { limit }) => sum + Math.max(minRate, limit?.perSecond ?? 0), 0);
      const ownRate = rate / coordination.countRouters() / millisecondsPerSecond;
      const spread = (random() * countRefused(service)) / Math.max(ownRate, 1 / maxRetryAfter);
      return Math.min(
        maxRetryAfter,
        Math.max(minRetryAfter, Number.isFinite(soonest) ? soonest : 0) + spread,
      );
    },
  };
};
