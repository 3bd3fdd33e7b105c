/** Runs calls to plain services, with retries and at-most-once claims. */
import { createHash, randomUUID } from "node:crypto";
import type { ServiceConfiguration } from "../../protocol/configuration/schema.ts";
import { RequestError, UpstreamError } from "../../protocol/errors.ts";
import type { PlainService } from "../../protocol/PlainService.ts";
import type { RequestContext, ServiceAnswer } from "../../protocol/types.ts";
import { metricNames } from "../../state/constants.ts";
import type { Metrics } from "../../state/Metrics.ts";
import type { ServiceDirectory, ServiceReplica } from "../../state/serviceDirectory.ts";
import type { Claim, ClaimLedger, ClaimResult } from "../claims/ClaimLedger.ts";
import { claimFailures } from "../claims/errors.ts";
import type { Clock } from "../clock.ts";
import { pause } from "../clock.ts";
import {
  isRequestInvalid,
  finalFailure,
  isExemptFromRetryBudget,
  mayRetry,
  provesNotRun,
} from "./attemptFailures.ts";
import { pickBackoff } from "./backoff.ts";
import { refusals } from "./refusals.ts";
import type { RetryBudget } from "./retryBudget.ts";
import { createReplicaSelector } from "./replicaSelector.ts";

const maxAttempts = 3;
const retryAfterSeconds = 1;
/** Reported as the upstream of an answer that is replayed from the record of an earlier call. */
const recordedUpstream = "recorded";
const defaultRejectionStatus = 400;

/** A caller's call to a plain service. */
export interface ServiceJob {
  readonly context: RequestContext;
  readonly service: ServiceConfiguration;
  readonly method: string;
  /** Path and query within the service. */
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: Buffer | undefined;
}

/** A service's answer and the replica that sent it. */
export interface ServiceResult {
  readonly upstream: string;
  readonly answer: ServiceAnswer;
}

export interface ServiceRunnerDependencies {
  readonly directory: ServiceDirectory;
  readonly claims: ClaimLedger;
  readonly retryBudget: RetryBudget;
  readonly metrics: Metrics;
  readonly clock: Clock;
  readonly dataCentre: string;
  /**
   * Returns the connection to a replica.
   *
   * @param idempotent - False for a call that needs a new connection: the replica may close a reused one just as the
   * call is sent, and then it is unknown whether the call ran.
   */
  readonly connect: (replica: ServiceReplica, idempotent: boolean) => PlainService;
  /** Returns a number from 0 up to but not including 1; defaults to `Math.random`. */
  readonly random?: () => number;
}

export interface ServiceRunner {
  /**
   * Runs a call.
   *
   * @param signal - Aborted when the caller disconnects.
   * @returns The answer; throws `RequestError`.
   */
  readonly run: (job: ServiceJob, signal: AbortSignal) => Promise<ServiceResult>;
}

/** The state of a call in progress. Only the call's own task changes it. */
interface CallState {
  readonly job: ServiceJob;
  readonly signal: AbortSignal;
  /** The idempotency key, if the service deduplicates calls by it. */
  readonly stickyKey: string | undefined;
  readonly excluded: Set<string>;
  attempts: number;
  mayHaveRun: boolean;
}

const fingerprintOfCall = (job: ServiceJob): string =>
  createHash("sha256")
    .update(`${job.method} ${job.path}\n`)
    .update(job.body ?? "")
    .digest("base64url");

const toProgress = ({ job, mayHaveRun }: CallState) => ({
  idempotent: job.context.idempotent,
  mayHaveRun,
  delivered: false,
  continuable: true,
});

const toRequestError = (error: unknown, state: CallState): RequestError => {
  if (state.mayHaveRun || error instanceof RequestError) return finalFailure(error, toProgress(state));
  if (isRequestInvalid(error)) {
    return refusals.rejectedByService(error.status ?? defaultRejectionStatus, error.message, error);
  }
  return refusals.noServiceReplica(retryAfterSeconds, error);
};

const isClaimOutage = (error: unknown): boolean =>
  error instanceof RequestError && error.failure.code === refusals.claimsUnavailable().failure.code;

export const createServiceRunner = (dependencies: ServiceRunnerDependencies): ServiceRunner => {
  const { directory, claims, retryBudget, metrics, clock, random = Math.random } = dependencies;
  const replicaSelector = createReplicaSelector(directory, clock, dependencies.dataCentre);

  const recordFailure = (replica: ServiceReplica, error: unknown): void => {
    if (!(error instanceof UpstreamError) || error.fault === "cancelled") return;
    if (error.fault === "crossed") metrics.count(metricNames.crossedAnswers);
    if (error.fault === "leaving") directory.markLeaving(replica.id);
    else if (!isRequestInvalid(error)) directory.markFailed(replica.id, clock.monotonic());
  };

  const callReplica = async (state: CallState, replica: ServiceReplica): Promise<ServiceAnswer> => {
    const { context, method, path, contentType, body } = state.job;
    const { idempotencyKey, idempotent } = context;
    const timeout = context.completionDeadline - clock.monotonic();
    if (timeout <= 0) throw refusals.deadlineExceeded();
    metrics.count(metricNames.attempts);
    directory.addInFlight(replica.id, 1);
    try {
      const organisation = context.organisation.name;
      const call = { attempt: randomUUID(), organisation, method, path, contentType, idempotencyKey, body };
      const answer = await dependencies.connect(replica, idempotent).call({ ...call, timeout }, state.signal);
      directory.markAnswered(replica.id);
      return answer;
    } catch (error) {
      recordFailure(replica, error);
      throw error;
    } finally {
      directory.addInFlight(replica.id, -1);
    }
  };

  /** @returns The delay before the next attempt, milliseconds; `undefined` if the call has failed. */
  const decideRetry = (state: CallState, error: unknown): number | undefined => {
    const { requestClass, completionDeadline } = state.job.context;
    if (state.attempts >= maxAttempts || state.signal.aborted) return undefined;
    if (!mayRetry(error, toProgress(state))) return undefined;
    const delay = pickBackoff(state.attempts, random);
    if (clock.monotonic() + delay >= completionDeadline) return undefined;
    if (!isExemptFromRetryBudget(error) && !retryBudget.tryTake(requestClass, "attempt")) {
      metrics.count(metricNames.retriesDenied, 1, { class: requestClass.name });
      return undefined;
    }
    metrics.count(metricNames.retries);
    return delay;
  };

  /** Tries one replica after another, unless a retry could run a non-idempotent call twice. */
  const callReplicas = async (state: CallState): Promise<ServiceResult> => {
    for (;;) {
      const { excluded, stickyKey, job } = state;
      const replica = replicaSelector.choose({ service: job.service.name, excluded, stickyKey });
      try {
        state.attempts += 1;
        const answer = await callReplica(state, replica);
        retryBudget.deposit(job.context.requestClass);
        return { upstream: replica.id, answer };
      } catch (error) {
        excluded.add(replica.id);
        if (error instanceof UpstreamError && !provesNotRun(error)) state.mayHaveRun = true;
        const delay = decideRetry(state, error);
        if (delay === undefined) throw error;
        await pause(clock, delay, state.signal);
      }
    }
  };

  /** Runs a call and records its outcome in its claim, if it has one. */
  const runWithClaim = async (state: CallState, claim: Claim | undefined): Promise<ServiceResult> => {
    try {
      if (state.signal.aborted) throw refusals.callerGone();
      const result = await callReplicas(state);
      await claim?.complete(`status ${result.answer.status}`, result.answer);
      return result;
    } catch (error) {
      await (state.mayHaveRun ? claim?.abandon() : claim?.release());
      throw toRequestError(error, state);
    }
  };

  /** @returns `undefined` if the claim ledger is unavailable but the service deduplicates calls by key itself. */
  const acquireClaim = async ({ context, service, ...job }: ServiceJob): Promise<ClaimResult | undefined> => {
    try {
      return await claims.acquire(context, fingerprintOfCall({ context, service, ...job }));
    } catch (error) {
      if (service.deduplicatesByKey && isClaimOutage(error)) return undefined;
      throw error;
    }
  };

  const runAtMostOnce = async (job: ServiceJob, signal: AbortSignal): Promise<ServiceResult> => {
    const result = await acquireClaim(job);
    const stickyKey = job.service.deduplicatesByKey ? job.context.idempotencyKey : undefined;
    const state = createCallState(job, signal, stickyKey);
    if (result === undefined) return runWithClaim(state, undefined);
    if (result.kind === "claimed") return runWithClaim(state, result.claim);
    const { answer, summary } = result.outcome;
    if (answer === undefined) throw claimFailures.alreadyCompleted(summary);
    return { upstream: recordedUpstream, answer: { attempt: "", ...answer } };
  };

  const run = (job: ServiceJob, signal: AbortSignal): Promise<ServiceResult> => {
    metrics.count(metricNames.requests, 1, { class: job.context.requestClass.name });
    if (!job.context.idempotent) return runAtMostOnce(job, signal);
    return runWithClaim(createCallState(job, signal, undefined), undefined);
  };

  return { run };
};

const createCallState = (job: ServiceJob, signal: AbortSignal, stickyKey: string | undefined): CallState => ({
  job,
  signal,
  stickyKey,
  excluded: new Set(),
  attempts: 0,
  mayHaveRun: false,
});
