/** What a failed attempt means for the request: try again, or which final answer. */
import { RequestError, UpstreamError } from "../../protocol/errors.ts";
import type { UpstreamFault } from "../../protocol/errors.ts";
import { outcomeUnknown, refusals, upstreamFailed } from "./refusals.ts";

const retryAfterSeconds = 1;

/** Faults that another engine can't mend. */
const finalFaults: ReadonlySet<UpstreamFault> = new Set(["cancelled"]);

/** How far a request has come over all its attempts. */
export interface RequestProgress {
  readonly idempotent: boolean;
  /** An attempt may have been received and run, wholly or in part. */
  readonly mayHaveRun: boolean;
  /** Part of the answer has gone to the caller. */
  readonly delivered: boolean;
  /** What was delivered can be continued by another engine. */
  readonly continuable: boolean;
}

/** True if the failure proves that the attempt did not run. */
export const provesNotRun = (error: unknown): boolean =>
  error instanceof UpstreamError && (error.progress === "not_sent" || error.progress === "refused");

/** True if another attempt may be made without running anything twice that may not be. */
export const mayTryAgain = (error: unknown, progress: RequestProgress): boolean => {
  if (!(error instanceof UpstreamError) || finalFaults.has(error.fault)) return false;
  if (progress.delivered && !progress.continuable) return false;
  return progress.idempotent || !progress.mayHaveRun;
};

/**
 * The final answer for a request that has failed.
 *
 * @param error - The last failure.
 */
export const finalFailure = (error: unknown, progress: RequestProgress): RequestError => {
  if (!progress.mayHaveRun) {
    return error instanceof RequestError ? error : refusals.noEngine(retryAfterSeconds, error);
  }
  if (!progress.idempotent) {
    return outcomeUnknown("outcome_unknown", "The request was started and its outcome is not known.", error);
  }
  if (progress.delivered) {
    return upstreamFailed("stream_interrupted", "The answer could not be finished.", error);
  }
  return upstreamFailed("upstream_failed", "The engines that were asked failed.", error);
};
