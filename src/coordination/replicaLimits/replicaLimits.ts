/**
 * Limits that replicas name in their answers, over all routers: what a replica takes is granted by one router that keeps
 * it for all, and asked for before each request that is to go there, whatever kind of request it is and however often
 * it was tried before.
 *
 * A limit is one number over all routers and may be below one a second, so that no part of it can be dealt out to each;
 * routers that told one another afterwards would have sent many times as much by then. Replicas without a limit cost
 * nothing.
 */
import type { ReplicaQuestion } from "../../protocol/forwarding/limitMessage.ts";
import type { AnswerSpan, LimitWord } from "../../state/forwarding/limitWord.ts";
import { supersedes, tellSpan, tellWord } from "../../state/forwarding/limitWord.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import type { KeyCoordination } from "../coordinators/keyCoordination.ts";
import type { UsageBucket } from "../coordinators/tokenBucket.ts";
import { createUsageBucket } from "../coordinators/tokenBucket.ts";
import type { SlidingWindowCounter } from "../slidingWindowCounter.ts";
import { createSlidingWindowCounter } from "../slidingWindowCounter.ts";
import {
  grantLife,
  leastRate,
  longestReturn,
  returnBuckets,
  returnWindow,
  shortestPause,
  shortestReturn,
  unansweredPause,
  unaskedShare,
} from "./constants.ts";
import { createLimitKeeper } from "./limitCoordinator.ts";

/** What keeping to limits works with. */
export interface ReplicaLimitsDependencies {
  readonly coordination: KeyCoordination;
  readonly replicas: ReplicaTable;
  readonly clock: Clock;
  /** Tells other routers of a limit that they may not have heard of. */
  readonly announce: (replica: ReplicaState) => void;
  /** A number from 0 to 1. */
  readonly random: () => number;
}

/** A request's turn at a replica. Milliseconds on the monotonic clock. */
export interface Grant {
  readonly from: number;
  /** The request must have left by then. */
  readonly until: number;
}

/** See {@link createReplicaLimits}. */
export interface ReplicaLimits {
  /**
   * A request is to be sent.
   *
   * @param patience - How long it may wait for its turn, milliseconds.
   * @returns Its turn, or nothing if there is none; no promise where the replica names no limit.
   */
  readonly take: (replica: ReplicaState, patience: number) => Promise<Grant | undefined> | undefined;
  /** An answer named a limit. */
  readonly observeLimit: (replica: ReplicaState, word: LimitWord) => void;
  /** An answer named none. */
  readonly observeNoLimit: (replica: ReplicaState, span: AnswerSpan) => void;
  /** @returns Milliseconds after which a request that a service has no room for is to come back. */
  readonly comeBackAfter: (service: string) => number;
}

const millisecondsPerSecond = 1_000;

const writeLog = createLogger("replicaLimits");

/** What one router sends where no keeper answers. */
const createUnasked = (clock: Clock): UsageBucket => createUsageBucket(clock, 0);

/** Creates the limits of replicas as one router keeps to them. */
export const createReplicaLimits = (parts: ReplicaLimitsDependencies): ReplicaLimits => {
  const { coordination: keeping, replicas, clock, random } = parts;
  keeping.addRoles({
    replicaQuestion: createLimitKeeper({ keepers: keeping.coordinators, replicas, clock }),
  });
  /** By id of a replica. */
  const unasked = new Map<string, UsageBucket>();
  /** By service: requests that were turned away. */
  const turnedAway = new Map<string, SlidingWindowCounter>();

  replicas.subscribe(({ id }, departure) => {
    if (departure !== undefined && departure !== "draining") unasked.delete(id);
  });

  const questionOf = (
    { entry }: ReplicaState,
    word: LimitWord,
    fields: Pick<ReplicaQuestion, "unnamed" | "isAsked" | "patience">,
  ): ReplicaQuestion => ({
    kind: "replicaQuestion",
    number: 0,
    replica: entry.id,
    word: tellWord(word, clock.monotonic()),
    ...fields,
  });

  const end = (replica: ReplicaState): void => {
    if (replica.limit === undefined) return;
    replica.limit = undefined;
    replica.limitEndedAt = clock.monotonic();
    replica.limitedUntil = Number.NEGATIVE_INFINITY;
    unasked.delete(replica.entry.id);
    writeLog("limit_ends", { replica: replica.entry.id });
  };

  /** Tells the keeper what was heard; it may know that the limit is over. */
  const report = async (replica: ReplicaState, word: LimitWord, unnamed?: AnswerSpan): Promise<void> => {
    const told = unnamed === undefined ? undefined : tellSpan(unnamed, clock.monotonic());
    const question = questionOf(replica, word, { unnamed: told, isAsked: false, patience: 0 });
    const answer = await keeping.ask(replica.entry.id, question);
    if (answer?.verdict === "unlimited") end(replica);
  };

  const turnIn = (wait: number): Grant => {
    const from = clock.monotonic() + wait;
    return { from, until: from + grantLife };
  };

  const passOver = (replica: ReplicaState, wait: number): void => {
    replica.limitedUntil = clock.monotonic() + Math.max(shortestPause, wait);
  };

  /** Nobody grants: an even part of half the limit stays within what may be sent beyond it. */
  const takeUnasked = (replica: ReplicaState, { perSecond }: LimitWord): Grant | undefined => {
    const { id } = replica.entry;
    const bucket = unasked.get(id) ?? createUnasked(clock);
    unasked.set(id, bucket);
    const ratePerSecond = (Math.max(leastRate, perSecond) * unaskedShare) / keeping.countRouters();
    const wait = bucket.take(1, { ratePerSecond, capacity: 1 });
    if (wait === undefined) return turnIn(0);
    passOver(replica, unansweredPause);
    return undefined;
  };

  const ask = async (
    replica: ReplicaState,
    word: LimitWord,
    patience: number,
  ): Promise<Grant | undefined> => {
    const question = questionOf(replica, word, {
      unnamed: undefined,
      isAsked: true,
      patience: Math.max(0, Math.floor(patience)),
    });
    const answer = await keeping.ask(replica.entry.id, question);
    if (answer === undefined) return takeUnasked(replica, word);
    unasked.delete(replica.entry.id);
    if (answer.verdict === "unlimited") end(replica);
    if (answer.verdict !== "refused") return turnIn(answer.wait);
    passOver(replica, answer.wait);
    return undefined;
  };

  const countTurnedAway = (service: string): number => {
    const count = turnedAway.get(service) ?? createSlidingWindowCounter(clock, returnWindow, returnBuckets);
    turnedAway.set(service, count);
    count.add(1);
    return count.sum();
  };

  return {
    take: (replica, patience) =>
      replica.limit === undefined ? undefined : ask(replica, replica.limit, patience),
    observeLimit: (replica, word) => {
      const known = replica.limit;
      if (known === undefined || supersedes(word, known)) replica.limit = word;
      if (known === undefined) {
        writeLog("limit_named", { replica: replica.entry.id, perSecond: word.perSecond });
        parts.announce(replica);
      }
      void report(replica, word);
    },
    observeNoLimit: (replica, span) => {
      const known = replica.limit;
      if (known !== undefined && span.askedAt >= known.heardAt) void report(replica, known, span);
    },
    comeBackAfter: (service) => {
      const limited = replicas.serving(service).filter(({ limit }) => limit !== undefined);
      const soonest = Math.min(...limited.map(({ limitedUntil }) => limitedUntil)) - clock.monotonic();
      const pace = limited.reduce((sum, { limit }) => sum + Math.max(leastRate, limit?.perSecond ?? 0), 0);
      const ownPace = pace / keeping.countRouters() / millisecondsPerSecond;
      const spread = (random() * countTurnedAway(service)) / Math.max(ownPace, 1 / longestReturn);
      return Math.min(
        longestReturn,
        Math.max(shortestReturn, Number.isFinite(soonest) ? soonest : 0) + spread,
      );
    },
  };
};
