/** What this router knows of one replica, and the work that all routers have there. */
import { hash32 } from "../../protocol/prefixLevels.ts";
import type { EngineStatus, ReplicaEntry } from "../../protocol/forwarding/types.ts";
import type { ReportedLimit } from "./reportedLimit.ts";

/** Priorities that engines tell apart: 0 is the most urgent. */
export const priorities = 10;

/** Work at a replica. */
export interface ReplicaWork {
  /** Requests sent and not ended. */
  readonly requests: number;
  /** By priority: prompt tokens of those that have not given a first token yet. */
  readonly promptTokens: readonly number[];
}

/** How a replica has made this router send less. Times are milliseconds on the monotonic clock. */
export interface ReplicaBackoff {
  /** When the newest period that the replica asked for began. */
  startedAt: number;
  /** Nothing is sent before then: the replica asked for it. */
  until: number;
  /** After that, no further request is sent before then. */
  nextAt: number;
  /** Between two requests as the replica is tried again; shorter with each answer. */
  interval: number;
  /** An answer has shown since that the period is over. */
  hasReopened: boolean;
  /** When the last request was sent after a period had ended. */
  sentAt: number;
  /** Other replicas are preferred before then: it turned requests away without saying for how long. */
  avoidedUntil: number;
  /** Such refusals in a row. */
  refusals: number;
}

/** What is believed of one replica. */
export interface ReplicaState {
  entry: ReplicaEntry;
  /** 32 bits of its name's hash: the same in every process, and for every incarnation. */
  readonly hash: number;
  /** The newest weights version heard of, by model: from registrations, answers, orders and peers. */
  readonly weights: Map<string, number>;
  /** Requests of this router. */
  requests: number;
  /** By priority: prompt tokens of this router's requests that have not given a first token yet. */
  readonly promptTokens: number[];
  /** Prompt tokens of this router that were computed there by now. */
  computedTokens: number;
  /** Prompt tokens of other routers that were computed there, as far as they reported them to this one. */
  reportedTokens: number;
  /** By teller: the work that was last told of; changed by the table's functions only. */
  readonly peers: Map<string, ReplicaWork>;
  /** The sums over `peers`: choosing by them costs the same however many routers there are. */
  readonly peerTotals: { requests: number; readonly promptTokens: number[] };
  /** Gets no new work before then, milliseconds on the monotonic clock: its weights are being changed. */
  changingUntil: number;
  /** Gets no new work before then: it failed. */
  ejectedUntil: number;
  /** The limit that its answers named last, heard here or told by other routers; nothing if it names none. */
  limit: ReportedLimit | undefined;
  /** What was heard of its limit before is of no use any more, milliseconds on the monotonic clock. */
  limitEndedAt: number;
  /** Gets no request of this router before then unless there is no other: its limit leaves none. */
  limitedUntil: number;
  /** Set from the first refusal until requests are accepted at the usual pace. */
  backoff: ReplicaBackoff | undefined;
  /** No connection can be made to it. */
  isUnreachable: boolean;
  /** Another router can't reach it: to be tried with a connection of this router's own. */
  isSuspected: boolean;
  /** Since when it has sent nothing although it owes an answer, milliseconds on the monotonic clock. */
  quietSince: number;
  /** Called once the replica can't be reached: requests under way there that may run again elsewhere. */
  readonly abandon: Set<() => void>;
  /** Failures in a row. */
  failures: number;
  /** Share of recent requests that failed there, 0 to 1. */
  failureShare: number;
}

/** @returns The requests that all routers have at a replica. */
export const totalRequests = ({ requests, peerTotals }: ReplicaState): number =>
  requests + peerTotals.requests;

const sumTo = (tokens: readonly number[], priority: number): number => {
  let sum = 0;
  for (let index = 0; index <= priority; index += 1) sum += tokens[index] ?? 0;
  return sum;
};

/** @returns The prompt tokens of all routers that a replica computes before those of a priority. */
export const tokensAhead = ({ promptTokens, peerTotals }: ReplicaState, priority: number): number =>
  sumTo(promptTokens, priority) + sumTo(peerTotals.promptTokens, priority);

/** @returns Whole tokens, without the priorities at the end that have none. */
export const wholeTokens = (tokens: readonly number[]): number[] =>
  tokens.slice(0, tokens.findLastIndex((count) => count > 0) + 1).map(Math.round);

/** @returns The work of all routers at a replica but for what one teller told. */
export const workExcluding = (
  { requests, promptTokens, peers, peerTotals }: ReplicaState,
  teller: string,
): ReplicaWork => {
  const left = peers.get(teller);
  return {
    requests: Math.max(0, requests + peerTotals.requests - (left?.requests ?? 0)),
    promptTokens: promptTokens.map(
      (own, priority) => own + (peerTotals.promptTokens[priority] ?? 0) - (left?.promptTokens[priority] ?? 0),
    ),
  };
};

/** @returns Whether what an engine says of itself is another incarnation's than the one that registered so. */
export const isDifferentIncarnation = (
  { bornAt }: ReplicaEntry,
  status: Pick<EngineStatus, "bornAt">,
): boolean => bornAt !== undefined && status.bornAt !== undefined && bornAt !== status.bornAt;

/** @returns The state of a replica that was just registered. */
export const createReplicaState = (entry: ReplicaEntry): ReplicaState => ({
  entry,
  hash: hash32(entry.registeredAs),
  weights: new Map(entry.weights),
  requests: 0,
  promptTokens: new Array<number>(priorities).fill(0),
  computedTokens: 0,
  reportedTokens: 0,
  peers: new Map(),
  peerTotals: { requests: 0, promptTokens: new Array<number>(priorities).fill(0) },
  changingUntil: Number.NEGATIVE_INFINITY,
  ejectedUntil: Number.NEGATIVE_INFINITY,
  limit: undefined,
  limitEndedAt: Number.NEGATIVE_INFINITY,
  limitedUntil: Number.NEGATIVE_INFINITY,
  backoff: undefined,
  isUnreachable: false,
  isSuspected: false,
  quietSince: Number.NEGATIVE_INFINITY,
  abandon: new Set(),
  failures: 0,
  failureShare: 0,
});
