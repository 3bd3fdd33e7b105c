/** Runs one call to a plain service. */
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

const maximumAttempts = 3;
const retryAfterSeconds = 1;
/** Named as the upstream of an answer that was given before. */
const recordedUpstream = "recorded";
const blamedStatus = 400;

/** What a caller asks of a plain service. */
export interface ServiceJob {
  readonly context: RequestContext;
  readonly service: ServiceConfiguration;
  readonly method: string;
  /** Path and query within the service. */
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: Buffer | undefined;
}

/** A service's answer and the replica that gave it. */
export interface ServiceResult {
  readonly upstream: string;
  readonly answer: ServiceAnswer;
}

/** What the runner works with. */
export interface ServiceRunnerDependencies {
  readonly directory: ServiceDirectory;
  readonly claims: ClaimLedger;
  readonly retryBudget: RetryBudget;
  readonly metrics: Metrics;
  readonly clock: Clock;
  readonly dataCentre: string;
  /**
   * The connection to a replica.
   *
   * @param idempotent - False for a call that needs a connection of its own: one that was used before may be
   * closed by the replica at the moment of sending, and nobody would know whether the call ran.
   */
  readonly connect: (replica: ServiceReplica, idempotent: boolean) => PlainService;
  /** A number from 0 up to but not including 1. */
  readonly random?: () => number;
}

/** Runs calls to plain services. */
export interface ServiceRunner {
  /**
   * @param signal - Aborted when the caller goes away.
   * @returns The answer; throws `RequestError`.
   */
  readonly run: (job: ServiceJob, signal: AbortSignal) => Promise<ServiceResult>;
}

/** One call on its way; changed by its own task only. */
interface CallState {
  readonly job: ServiceJob;
  readonly signal: AbortSignal;
  /** Set where the service itself has to run the key once. */
  readonly stickyKey: string | undefined;
  readonly excluded: Set<string>;
  attempts: number;
  mayHaveRun: boolean;
}

const fingerprintOf = (job: ServiceJob): string =>
  createHash("sha256")
    .update(`${job.method} ${job.path}\n`)
    .update(job.body ?? "")
    .digest("base64url");

const progressOf = ({ job, mayHaveRun }: CallState) => ({
  idempotent: job.context.idempotent,
  mayHaveRun,
  delivered: false,
  continuable: true,
});

const failureOf = (error: unknown, state: CallState): RequestError => {
  if (state.mayHaveRun || error instanceof RequestError) return finalFailure(error, progressOf(state));
  if (isRequestInvalid(error)) {
    return refusals.rejectedByService(error.status ?? blamedStatus, error.message, error);
  }
  return refusals.noServiceReplica(retryAfterSeconds, error);
};

const isClaimOutage = (error: unknown): boolean =>
  error instanceof RequestError && error.failure.code === refusals.claimsUnavailable().failure.code;

/** Makes a runner. */
export const createServiceRunner = (parts: ServiceRunnerDependencies): ServiceRunner => {
  const { directory, claims, retryBudget, metrics, clock, random = Math.random } = parts;
  const replicas = createReplicaSelector(directory, clock, parts.dataCentre);

  const noteFailure = (replica: ServiceReplica, error: unknown): void => {
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
      const answer = await parts.connect(replica, idempotent).call({ ...call, timeout }, state.signal);
      directory.markAnswered(replica.id);
      return answer;
    } catch (error) {
      noteFailure(replica, error);
      throw error;
    } finally {
      directory.addInFlight(replica.id, -1);
    }
  };

  /** @returns After how many milliseconds to try again; undefined where the call has to be given up. */
  const decideRetry = (state: CallState, error: unknown): number | undefined => {
    const { requestClass, completionDeadline } = state.job.context;
    if (state.attempts >= maximumAttempts || state.signal.aborted) return undefined;
    if (!mayRetry(error, progressOf(state))) return undefined;
    const delay = pickBackoff(state.attempts, random);
    if (clock.monotonic() + delay >= completionDeadline) return undefined;
    if (!isExemptFromRetryBudget(error) && !retryBudget.tryTake(requestClass, "attempt")) {
      metrics.count(metricNames.retriesDenied, 1, { class: requestClass.name });
      return undefined;
    }
    metrics.count(metricNames.retries);
    return delay;
  };

  /** Asks one replica after another, as far as nothing may run twice. */
  const callReplicas = async (state: CallState): Promise<ServiceResult> => {
    for (;;) {
      const { excluded, stickyKey, job } = state;
      const replica = replicas.choose({ service: job.service.name, excluded, stickyKey });
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

  /** Runs a call that may be run; ends its claim the way it ended. */
  const runClaimed = async (state: CallState, claim: Claim | undefined): Promise<ServiceResult> => {
    try {
      if (state.signal.aborted) throw refusals.callerGone();
      const result = await callReplicas(state);
      await claim?.complete(`status ${result.answer.status}`, result.answer);
      return result;
    } catch (error) {
      await (state.mayHaveRun ? claim?.abandon() : claim?.release());
      throw failureOf(error, state);
    }
  };

  /** @returns Undefined where claims can't be had and the service itself runs a key at most once. */
  const acquire = async ({ context, service, ...job }: ServiceJob): Promise<ClaimResult | undefined> => {
    try {
      return await claims.acquire(context, fingerprintOf({ context, service, ...job }));
    } catch (error) {
      if (service.deduplicatesByKey && isClaimOutage(error)) return undefined;
      throw error;
    }
  };

  const runOnce = async (job: ServiceJob, signal: AbortSignal): Promise<ServiceResult> => {
    const result = await acquire(job);
    const stickyKey = job.service.deduplicatesByKey ? job.context.idempotencyKey : undefined;
    const state = newState(job, signal, stickyKey);
    if (result === undefined) return runClaimed(state, undefined);
    if (result.kind === "claimed") return runClaimed(state, result.claim);
    const { answer, summary } = result.outcome;
    if (answer === undefined) throw claimFailures.alreadyCompleted(summary);
    return { upstream: recordedUpstream, answer: { attempt: "", ...answer } };
  };

  const run = (job: ServiceJob, signal: AbortSignal): Promise<ServiceResult> => {
    metrics.count(metricNames.requests, 1, { class: job.context.requestClass.name });
    if (!job.context.idempotent) return runOnce(job, signal);
    return runClaimed(newState(job, signal, undefined), undefined);
  };

  return { run };
};

const newState = (job: ServiceJob, signal: AbortSignal, stickyKey: string | undefined): CallState => ({
  job,
  signal,
  stickyKey,
  excluded: new Set(),
  attempts: 0,
  mayHaveRun: false,
});
