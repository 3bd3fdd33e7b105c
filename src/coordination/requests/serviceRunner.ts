/** Runs one call to a plain service. */
import { createHash, randomUUID } from "node:crypto";
import type { ServiceConfiguration } from "../../protocol/configuration/schema.ts";
import { UpstreamError } from "../../protocol/errors.ts";
import type { PlainService } from "../../protocol/PlainService.ts";
import type { RequestContext, ServiceAnswer } from "../../protocol/types.ts";
import { metricNames } from "../../state/constants.ts";
import type { Metrics } from "../../state/Metrics.ts";
import type { ServiceDirectory, ServiceReplica } from "../../state/serviceDirectory.ts";
import type { Claim, ClaimLedger } from "../claims/ClaimLedger.ts";
import { claimFailures } from "../claims/errors.ts";
import type { Clock } from "../clock.ts";
import { finalFailure, mayTryAgain, provesNotRun } from "./attemptFailures.ts";
import { refusals } from "./refusals.ts";

const maximumAttempts = 3;
const retryAfterSeconds = 1;
/** A replica that failed is asked last for this long, milliseconds. */
const failureMemory = 2_000;
/** Named as the upstream of an answer that was given before. */
const recordedUpstream = "recorded";

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
export interface ServiceRunnerParts {
  readonly directory: ServiceDirectory;
  readonly claims: ClaimLedger;
  readonly metrics: Metrics;
  readonly clock: Clock;
  readonly dataCentre: string;
  readonly connect: (replica: ServiceReplica) => PlainService;
}

/** Runs calls to plain services. */
export interface ServiceRunner {
  /** @returns The answer; throws `RequestError`. */
  readonly run: (job: ServiceJob, signal: AbortSignal) => Promise<ServiceResult>;
}

const fingerprintOf = (job: ServiceJob): string =>
  createHash("sha256")
    .update(`${job.method} ${job.path}\n`)
    .update(job.body ?? "")
    .digest("base64url");

/** Makes a runner. */
export const createServiceRunner = (parts: ServiceRunnerParts): ServiceRunner => {
  const { directory, claims, metrics, clock } = parts;

  const rank = (replica: ServiceReplica): number => {
    const failed = replica.failedAt !== undefined && clock.monotonic() - replica.failedAt < failureMemory;
    return (
      (failed ? 1_000_000 : 0) + (replica.dataCentre === parts.dataCentre ? 0 : 1_000) + replica.inFlight
    );
  };

  const choose = (service: string, excluded: ReadonlySet<string>): ServiceReplica => {
    const candidates = directory
      .ofService(service)
      .filter((replica) => !replica.leaving && !excluded.has(replica.id));
    const [best] = candidates.sort((left, right) => rank(left) - rank(right));
    if (best === undefined) throw refusals.noServiceReplica(retryAfterSeconds);
    return best;
  };

  const callOnce = async (
    job: ServiceJob,
    replica: ServiceReplica,
    signal: AbortSignal,
  ): Promise<ServiceAnswer> => {
    const { context } = job;
    metrics.count(metricNames.attempts);
    directory.addInFlight(replica.id, 1);
    try {
      const answer = await parts.connect(replica).call(
        {
          attempt: randomUUID(),
          organisation: context.organisation.name,
          method: job.method,
          path: job.path,
          contentType: job.contentType,
          idempotencyKey: context.idempotencyKey,
          body: job.body,
          timeout: Math.max(1, context.completionDeadline - clock.monotonic()),
        },
        signal,
      );
      directory.markAnswered(replica.id);
      return answer;
    } catch (error) {
      if (error instanceof UpstreamError && error.fault === "leaving") directory.markLeaving(replica.id);
      else directory.markFailed(replica.id, clock.monotonic());
      throw error;
    } finally {
      directory.addInFlight(replica.id, -1);
    }
  };

  /** Asks one replica after another, as far as nothing may run twice. */
  const attempt = async (job: ServiceJob, progress: { mayHaveRun: boolean }, signal: AbortSignal) => {
    const excluded = new Set<string>();
    for (let attempts = 1; ; attempts += 1) {
      const replica = choose(job.service.name, excluded);
      try {
        return { upstream: replica.id, answer: await callOnce(job, replica, signal) };
      } catch (error) {
        excluded.add(replica.id);
        if (!provesNotRun(error)) progress.mayHaveRun = true;
        const state = {
          idempotent: job.context.idempotent,
          ...progress,
          delivered: false,
          continuable: true,
        };
        if (attempts >= maximumAttempts || signal.aborted || !mayTryAgain(error, state)) throw error;
        metrics.count(metricNames.retries);
      }
    }
  };

  /** Runs a call that may be run; ends its claim the way it ended. */
  const runClaimed = async (
    job: ServiceJob,
    claim: Claim | undefined,
    signal: AbortSignal,
  ): Promise<ServiceResult> => {
    const progress = { mayHaveRun: false };
    try {
      const result = await attempt(job, progress, signal);
      await claim?.complete(`status ${result.answer.status}`, result.answer);
      return result;
    } catch (error) {
      if (!progress.mayHaveRun) await claim?.release();
      const { idempotent } = job.context;
      throw finalFailure(error, { idempotent, ...progress, delivered: false, continuable: true });
    }
  };

  const runOnce = async (job: ServiceJob, signal: AbortSignal): Promise<ServiceResult> => {
    const result = await claims.acquire(job.context, fingerprintOf(job));
    if (result.kind === "claimed") return runClaimed(job, result.claim, signal);
    const { answer, summary } = result.outcome;
    if (answer === undefined) throw claimFailures.alreadyCompleted(summary);
    return { upstream: recordedUpstream, answer: { attempt: "", ...answer } };
  };

  const run = (job: ServiceJob, signal: AbortSignal): Promise<ServiceResult> => {
    metrics.count(metricNames.requests, 1, { class: job.context.requestClass.name });
    return job.context.idempotent ? runClaimed(job, undefined, signal) : runOnce(job, signal);
  };

  return { run };
};
