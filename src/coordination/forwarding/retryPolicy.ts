/**
 * Decides whether another attempt may follow a failure: by whether the request may have run, the attempts left and the
 * retry budget.
 */
import type { UpstreamError } from "../../protocol/errors.ts";
import { createLogger } from "../../state/log.ts";
import { metricNames } from "../../state/constants.ts";
import type { Metrics } from "../../state/Metrics.ts";
import type { QuarantineChecks } from "../crashes/quarantine.ts";
import type { Availability } from "../replicaReports/availability.ts";
import type { StartedAnswer } from "./forwardAttempt.ts";
import type { ForwardRun } from "./forwardRun.ts";
import type { RetryShare } from "./retryShare.ts";
import type { WeightsExclusion } from "./weightsExclusion.ts";

export interface RetryPolicyDependencies {
  readonly availability: Pick<Availability, "available">;
  readonly quarantine: Pick<QuarantineChecks, "noteFailed">;
  readonly retryShare: RetryShare;
  readonly weightsExclusion: Pick<WeightsExclusion, "hasCandidate">;
  readonly metrics: Metrics;
}

export interface RetryPolicy {
  /**
   * Whether another attempt may follow a failure. If so, it is taken from the retry budget, unless the request was not
   * sent. A failure that reached a replica ends the request's quarantine trial.
   */
  readonly mayRetry: (run: ForwardRun, failure: UpstreamError) => Promise<boolean>;
  /**
   * Whether another attempt may follow a server error that a replica has sent: another replica may not fail. If so, it
   * is taken from the retry budget.
   */
  readonly mayRetryAnswer: (run: ForwardRun, answer: StartedAnswer) => Promise<boolean>;
}

const firstServerError = 500;

const writeLog = createLogger("requests");

/** Whether a replica may have run the failed request. */
const hasReached = ({ progress }: UpstreamError): boolean =>
  progress !== "not_sent" && progress !== "refused";

/** Creates the policy. */
export const createRetryPolicy = (dependencies: RetryPolicyDependencies): RetryPolicy => {
  const { availability, quarantine, retryShare, weightsExclusion, metrics } = dependencies;

  const takeRetry = async ({ request, admission, stopper }: ForwardRun): Promise<boolean> => {
    const service = admission.service.name;
    const isGranted = await retryShare.take(service, stopper.signal);
    metrics.count(isGranted ? metricNames.retries : metricNames.retriesDenied, 1, { service });
    writeLog(isGranted ? "retry_granted" : "retry_denied", {
      request: request.id,
      service,
      ...retryShare.stateOf(service),
    });
    return isGranted;
  };

  /** Checked first, since a retry for which there is no replica would use up budget that other requests need. */
  const hasAnother = ({ admission, excluded }: ForwardRun): boolean =>
    availability.available(admission.service.name).some(({ entry }) => !excluded.has(entry.id));

  return {
    mayRetry: async (run, failure) => {
      if (hasReached(failure)) quarantine.noteFailed(run.request);
      if (run.stopper.reason() !== undefined) return false;
      if (failure.progress === "not_sent") return !run.isOutOfConnectionAttempts();
      if (failure.progress !== "refused" && !run.mayRepeat) return false;
      // It has not run, so that the attempts of the route don't limit it.
      if (failure.fault === "wrong_weights")
        return !run.isOutOfWeightsRefusals() && weightsExclusion.hasCandidate(run) && takeRetry(run);
      return run.hasAttemptsLeft() && hasAnother(run) && takeRetry(run);
    },
    mayRetryAnswer: async (run, { head }) => {
      if (head.status < firstServerError || !run.mayRepeat) return false;
      if (run.stopper.reason() !== undefined || !run.hasAttemptsLeft()) return false;
      return hasAnother(run) && takeRetry(run);
    },
  };
};
