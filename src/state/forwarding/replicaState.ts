/** The state that this router keeps of one replica, including the work that all routers have there. */
import { hash32 } from "../../protocol/prefixLevels.ts";
import type { EngineStatus, ReplicaEntry } from "../../protocol/forwarding/types.ts";
import type { ReportedLimit } from "./reportedLimit.ts";
import type { WeightsDenial } from "./replicaWeights.ts";

/** Number of priorities that engines distinguish; 0 is the most urgent. */
export const priorities = 10;

/** Work of one organisation at a replica. */
export interface OrganisationWork {
  /** 32-bit hash of the organisation's name. */
  readonly key: number;
  /** Prompt tokens of its requests that have not returned a first token yet. */
  readonly promptTokens: number;
}

/** Work at a replica. */
export interface ReplicaWork {
  /** Requests in progress. */
  readonly requests: number;
  /** By priority: prompt tokens of the requests that have not returned a first token yet. */
  readonly promptTokens: readonly number[];
  /** The organisations with prompts that have not returned a first token; absent if they are not counted. */
  readonly organisations?: readonly OrganisationWork[];
  /** Memory tokens that the requests in progress hold or will need; absent if they are not counted. */
  readonly reservedTokens?: number;
}

/** The backoff that a replica asked this router for. Times are milliseconds on the monotonic clock. */
export interface ReplicaBackoff {
  /** When the latest backoff period began. */
  startedAt: number;
  /** End of the period: the replica asked that nothing be sent before. */
  until: number;
  /** After the period: the earliest time of the next request. */
  nextAt: number;
  /** Minimum time between two requests after the period; it shrinks with each response. */
  interval: number;
  /** True once a response after the period has shown that the replica accepts requests again. */
  hasReopened: boolean;
  /** When the last request after a period was sent. */
  sentAt: number;
  /** Other replicas are preferred before then: it refused requests without giving a time to retry after. */
  avoidedUntil: number;
  /** Consecutive refusals without such a time. */
  refusals: number;
}

/** The prefill rate of a replica as its owner estimates it; at its owner, the last estimate. */
export interface ReportedRate {
  /** Prompt tokens per millisecond. */
  readonly rate: number;
  /** When the report arrived, milliseconds on the monotonic clock. */
  readonly receivedAt: number;
  /** The replica's {@link weightsGeneration} at that time. */
  readonly generation: number;
}

/** How this router learned that a replica drains. */
export interface DrainingReport {
  /**
   * - `registry`: its registration.
   * - `answer`: the head of its answer to a request or a call of this router.
   * - `address`: another replica answered at its address.
   * - `peer`: another router.
   */
  readonly source: "registry" | "answer" | "address" | "peer";
  /** The position of the registration, the id of the request, or the name of the router; empty if unknown. */
  readonly detail: string;
}

/** The state of one replica. */
export interface ReplicaState {
  entry: ReplicaEntry;
  /** The first report that it drains; `undefined` if there is none. */
  draining: DrainingReport | undefined;
  /** 32-bit hash of its name: the same in every process and for every incarnation. */
  readonly hash: number;
  /** By model: the newest weights version seen in registrations, responses, orders and messages of peers. */
  readonly weights: Map<string, number>;
  /** By model: the last refusal to run a weights version, until newer evidence of that version. */
  readonly deniedWeights: Map<string, WeightsDenial>;
  /** This router's requests in progress. */
  requests: number;
  /** By priority: prompt tokens of this router's requests that have not returned a first token yet. */
  readonly promptTokens: number[];
  /** By key of the organisation: the same prompt tokens, where organisations are counted. */
  readonly organisationTokens: Map<number, number>;
  /** Memory tokens that this router's requests in progress hold or will need, where memory is counted. */
  reservedTokens: number;
  /** Prompt tokens of this router's requests that the replica has computed so far. */
  computedTokens: number;
  /** Prompt tokens of this router's requests whose first token has arrived, where learned speeds are used. */
  prefilledTokens: number;
  /** Prompt tokens of other routers' requests that the replica has computed, as far as they reported them. */
  reportedTokens: number;
  /** By reporting router: the work that it reported last. Only the functions of the table change it. */
  readonly peers: Map<string, ReplicaWork>;
  /** The sums over `peers`, so that the cost of a placement decision does not depend on the number of routers. */
  readonly peerTotals: {
    requests: number;
    readonly promptTokens: number[];
    /** By key of the organisation. */
    readonly organisationTokens: Map<number, number>;
    reservedTokens: number;
  };
  /** The prefill rate that its owner reported last; `undefined` if none did. */
  reportedRate: ReportedRate | undefined;
  /** Gets no new work before then, since its weights are being changed; milliseconds on the monotonic clock. */
  changingUntil: number;
  /** Gets no new work before then, since it failed; milliseconds on the monotonic clock. */
  ejectedUntil: number;
  /** The limit that its responses reported last, to this or another router; `undefined` if they report none. */
  limit: ReportedLimit | undefined;
  /** Limits that were reported up to this time are no longer valid, milliseconds on the monotonic clock. */
  limitEndedAt: number;
  /** Its limit is used up until then: this router sends it requests only if there is no other replica. */
  limitedUntil: number;
  /** Set from the first refusal until requests are sent at the normal rate again. */
  backoff: ReplicaBackoff | undefined;
  /** How many requests it can turn away in a second without falling over; `undefined` if it is not brittle. */
  brittleRejections: number | undefined;
  /** This router cannot connect to it. */
  isUnreachable: boolean;
  /** Another router cannot reach it; this router must check with a connection of its own. */
  isSuspected: boolean;
  /** Since when it has sent nothing although responses are pending, milliseconds on the monotonic clock. */
  quietSince: number;
  /**
   * Callbacks of requests in progress there that may be retried elsewhere. Called when the replica is unreachable or
   * has restarted.
   */
  readonly abandon: Set<() => void>;
  /** Consecutive failures. */
  failures: number;
  /** Answers that seemed to have no end. */
  endlessAnswers: number;
  /** Share of recent requests that failed there, 0 to 1. */
  failureShare: number;
}

/** @returns The number of requests that all routers have in progress at a replica. */
export const totalRequests = ({ requests, peerTotals }: ReplicaState): number =>
  requests + peerTotals.requests;

const sumThrough = (tokens: readonly number[], priority: number): number => {
  let sum = 0;
  for (let index = 0; index <= priority; index += 1) sum += tokens[index] ?? 0;
  return sum;
};

/** @returns The prompt tokens, of all routers, that a replica computes before a new request of a priority. */
export const tokensAhead = ({ promptTokens, peerTotals }: ReplicaState, priority: number): number =>
  sumThrough(promptTokens, priority) + sumThrough(peerTotals.promptTokens, priority);

/** @returns The prompt tokens without a first token that an organisation has at a replica, over all routers. */
export const organisationTokensAt = (
  { organisationTokens, peerTotals }: ReplicaState,
  organisation: number,
): number =>
  (organisationTokens.get(organisation) ?? 0) + (peerTotals.organisationTokens.get(organisation) ?? 0);

/** @returns The memory tokens that the requests of all routers at a replica hold or will need. */
export const reservedTokensAt = ({ reservedTokens, peerTotals }: ReplicaState): number =>
  reservedTokens + peerTotals.reservedTokens;

/** @returns An organisation's entry as it is reported to other routers; empty if it has no prompt tokens. */
export const toOrganisationWork = ([key, tokens]: readonly [number, number]): readonly OrganisationWork[] =>
  tokens >= 1 ? [{ key, promptTokens: Math.round(tokens) }] : [];

/** @returns The tokens by priority, rounded, without trailing priorities that have none. */
export const wholeTokens = (tokens: readonly number[]): number[] =>
  tokens.slice(0, tokens.findLastIndex((count) => count > 0) + 1).map(Math.round);

/**
 * @param organisation - The key of the only organisation to include.
 * @returns The work of all routers at a replica, except what one router reported.
 */
export const workExcluding = (state: ReplicaState, reporter: string, organisation: number): ReplicaWork => {
  const { requests, promptTokens, peers, peerTotals } = state;
  const reported = peers.get(reporter);
  const reportedByOrganisation = reported?.organisations?.find(({ key }) => key === organisation);
  return {
    requests: Math.max(0, requests + peerTotals.requests - (reported?.requests ?? 0)),
    promptTokens: promptTokens.map(
      (own, priority) =>
        own + (peerTotals.promptTokens[priority] ?? 0) - (reported?.promptTokens[priority] ?? 0),
    ),
    organisations: toOrganisationWork([
      organisation,
      organisationTokensAt(state, organisation) - (reportedByOrganisation?.promptTokens ?? 0),
    ]),
    reservedTokens: Math.max(0, Math.round(reservedTokensAt(state) - (reported?.reservedTokens ?? 0))),
  };
};

/** @returns A number that increases whenever a replica is known to run newer weights. */
export const weightsGeneration = ({ weights }: ReplicaState): number => {
  let sum = 0;
  for (const version of weights.values()) sum += version;
  return sum;
};

/** @returns Whether the status of an engine comes from another incarnation than its registration. */
export const isDifferentIncarnation = (
  { bornAt }: ReplicaEntry,
  status: Pick<EngineStatus, "bornAt">,
): boolean => bornAt !== undefined && status.bornAt !== undefined && bornAt !== status.bornAt;

/** @returns The initial state of a registered replica. */
export const createReplicaState = (entry: ReplicaEntry): ReplicaState => ({
  entry,
  draining: undefined,
  hash: hash32(entry.registeredAs),
  weights: new Map(entry.weights),
  deniedWeights: new Map(),
  requests: 0,
  promptTokens: new Array<number>(priorities).fill(0),
  organisationTokens: new Map(),
  reservedTokens: 0,
  computedTokens: 0,
  prefilledTokens: 0,
  reportedTokens: 0,
  peers: new Map(),
  peerTotals: {
    requests: 0,
    promptTokens: new Array<number>(priorities).fill(0),
    organisationTokens: new Map(),
    reservedTokens: 0,
  },
  reportedRate: undefined,
  changingUntil: Number.NEGATIVE_INFINITY,
  ejectedUntil: Number.NEGATIVE_INFINITY,
  limit: undefined,
  limitEndedAt: Number.NEGATIVE_INFINITY,
  limitedUntil: Number.NEGATIVE_INFINITY,
  backoff: undefined,
  brittleRejections: undefined,
  isUnreachable: false,
  isSuspected: false,
  quietSince: Number.NEGATIVE_INFINITY,
  abandon: new Set(),
  failures: 0,
  endlessAnswers: 0,
  failureShare: 0,
});
