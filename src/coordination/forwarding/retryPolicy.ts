/** Whether a further attempt may follow a failure: by what may have run, by attempts left, and by the retry budget. */
import type { UpstreamError } from "../../protocol/errors.ts";
import { metricNames } from "../../state/constants.ts";
import type { Metrics } from "../../state/Metrics.ts";
import type { QuarantineChecks } from "../crashes/quarantine.ts";
import type { Availability } from "../replicaReports/availability.ts";
import type { StartedAnswer } from "./forwardAttempt.ts";
import type { ForwardRun } from "./forwardRun.ts";
import type { RetryShare } from "./retryShare.ts";

export interface RetryPolicyDependencies {
  readonly availability: Pick<Availability, "available">;
  readonly quarantine: Pick<QuarantineChecks, "noteFailed">;
  readonly retryShare: RetryShare;
  readonly metrics: Metrics;
}

/** See {@link createRetryPolicy}. */
export interface RetryPolicy {
  /** Whether a further attempt may follow a failure; it is taken from the budget if so. */
  readonly mayRetry: (run: ForwardRun, failure: UpstreamError) => boolean;
  /** The same for a failure that the replica answered itself: it may be none elsewhere. */
  readonly mayRetryAnswer: (run: ForwardRun, answer: StartedAnswer) => boolean;
}

const firstServerError = 500;

/** Whether a replica may have run what failed. */
const hasReached = ({ progress }: UpstreamError): boolean =>
  progress !== "not_sent" && progress !== "refused";

/** Creates a policy. */
export const createRetryPolicy = (dependencies: RetryPolicyDependencies): RetryPolicy => {
  const { availability, quarantine, retryShare, metrics } = dependencies;

  const takeRetry = ({ admission }: ForwardRun): boolean => {
    if (retryShare.tryTake(admission.service.name)) return true;
    metrics.count(metricNames.retriesDenied);
    return false;
  };

  /** A retry that no replica can take would be lost to other requests. */
  const hasAnother = ({ admission, sentTo }: ForwardRun): boolean =>
    availability.available(admission.service.name).some(({ entry }) => !sentTo.has(entry.id));

  return {
    mayRetry: (run, failure) => {
      if (hasReached(failure)) quarantine.noteFailed(run.request);
      if (run.stopper.reason() !== undefined) return false;
      if (failure.progress === "not_sent") return !run.isOutOfConnectionAttempts();
      if (failure.progress !== "refused" && !run.mayRepeat) return false;
      // A replica that only has other weights than expected is asked again.
      if (failure.fault === "wrong_weights") return takeRetry(run);
      return run.hasAttemptsLeft() && hasAnother(run) && takeRetry(run);
    },
    mayRetryAnswer: (run, { head }) => {
      if (head.status < firstServerError || !run.mayRepeat) return false;
      if (run.stopper.reason() !== undefined || !run.hasAttemptsLeft()) return false;
      return hasAnother(run) && takeRetry(run);
    },
  };
};
