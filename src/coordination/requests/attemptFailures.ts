/** What a failed attempt means for the request: try again, or which final answer. */
import { RequestError, UpstreamError } from "../../protocol/errors.ts";
import type { UpstreamFault } from "../../protocol/errors.ts";
import { defaultRetryAfterSeconds } from "./constants.ts";
import { outcomeUnknown, refusals, resumeRefusals, upstreamFailed } from "./refusals.ts";
import type { StopReason } from "./stopper.ts";

/** Faults that another engine can't mend. */
const finalFaults: ReadonlySet<UpstreamFault> = new Set(["cancelled"]);

/** Statuses by which an upstream says that the request itself is at fault. */
const blamingStatuses: ReadonlySet<number> = new Set([400, 413, 422]);

/** How far a request has come over all its attempts. */
export interface RequestProgress {
  readonly idempotent: boolean;
  /** An attempt may have been received and run, wholly or in part. */
  readonly mayHaveRun: boolean;
  /** Part of the answer has gone to the caller. */
  readonly delivered: boolean;
  /** What was delivered can be continued by another engine. */
  readonly continuable: boolean;
  /** The caller has text that it would have to send for another engine to continue it. */
  readonly textMissing?: boolean;
}

/** True if the failure proves that the attempt did not run. */
export const provesNotRun = (error: unknown): boolean =>
  error instanceof UpstreamError && (error.progress === "not_sent" || error.progress === "refused");

/** True if the upstream refused the request for what it asks; any other would, too. */
export const isRequestInvalid = (error: unknown): error is UpstreamError =>
  error instanceof UpstreamError &&
  error.progress === "refused" &&
  error.status !== undefined &&
  blamingStatuses.has(error.status);

/** True if a retry adds no load where it failed: the engine is gone or takes nothing any more. */
export const isExemptFromRetryBudget = (error: unknown): boolean =>
  error instanceof UpstreamError && (error.progress === "not_sent" || error.fault === "leaving");

/** True if another attempt may be made without running anything twice that may not be. */
export const mayRetry = (error: unknown, progress: RequestProgress): boolean => {
  if (!(error instanceof UpstreamError) || finalFaults.has(error.fault)) return false;
  if (isRequestInvalid(error)) return false;
  if (progress.delivered && !progress.continuable) return false;
  return progress.idempotent || !progress.mayHaveRun;
};

const failureNotRun = (error: unknown, stopped: StopReason | undefined): RequestError => {
  if (stopped === "deadline") return refusals.deadlineExceeded(error);
  if (error instanceof RequestError) return error;
  if (isRequestInvalid(error)) return refusals.rejectedByEngine(error.status ?? 400, error.message, error);
  return refusals.noEngine(defaultRetryAfterSeconds, error);
};

/**
 * The final answer for a request that has failed.
 *
 * @param error - The last failure.
 * @param stopped - Why the request was stopped, if it was.
 */
export const finalFailure = (
  error: unknown,
  progress: RequestProgress,
  stopped?: StopReason,
): RequestError => {
  if (!progress.mayHaveRun) return failureNotRun(error, stopped);
  if (error instanceof RequestError && error.failure.status < 500) return error;
  if (!progress.idempotent) {
    return outcomeUnknown("outcome_unknown", "The request was started and its outcome is not known.", error);
  }
  if (stopped === "deadline") {
    return upstreamFailed("deadline_exceeded", "The answer could not be finished in time.", error, 504);
  }
  if (progress.textMissing === true) return resumeRefusals.textNeeded(error);
  if (progress.delivered) {
    return upstreamFailed("stream_interrupted", "The answer could not be finished.", error);
  }
  return upstreamFailed("upstream_failed", "The engines that were asked failed.", error);
};
