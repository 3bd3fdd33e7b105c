/** Decides from a failed attempt whether the request may be retried, and which error it ends with otherwise. */
import { RequestError, UpstreamError } from "../../protocol/errors.ts";
import type { UpstreamFault } from "../../protocol/errors.ts";
import { defaultRetryAfterSeconds } from "./constants.ts";
import { outcomeUnknown, refusals, resumeRefusals, upstreamFailed } from "./refusals.ts";
import type { StopReason } from "./stopper.ts";

/** Faults after which an attempt on another engine is pointless. */
const nonRetryableFaults: ReadonlySet<UpstreamFault> = new Set(["cancelled"]);

/** HTTP statuses with which an upstream rejects the request itself. */
const invalidRequestStatuses: ReadonlySet<number> = new Set([400, 413, 422]);

/** The progress of a request over all its attempts. */
export interface RequestProgress {
  readonly idempotent: boolean;
  /** An upstream may have received an attempt and run it, completely or in part. */
  readonly mayHaveRun: boolean;
  /** Part of the answer has been delivered to the caller. */
  readonly delivered: boolean;
  /** Another engine can continue after the part that was delivered. */
  readonly continuable: boolean;
  /** Another engine could continue only if the caller sent the text that it has received. */
  readonly textMissing?: boolean;
}

/** @returns Whether the failure proves that the attempt did not run. */
export const provesNotRun = (error: unknown): boolean =>
  error instanceof UpstreamError && (error.progress === "not_sent" || error.progress === "refused");

/** @returns Whether the upstream rejected the request as invalid, as any other upstream would. */
export const isRequestInvalid = (error: unknown): error is UpstreamError =>
  error instanceof UpstreamError &&
  error.progress === "refused" &&
  error.status !== undefined &&
  invalidRequestStatuses.has(error.status);

/** @returns Whether a retry adds no load to the upstream that failed, since it is gone or accepts no more work. */
export const isExemptFromRetryBudget = (error: unknown): boolean =>
  error instanceof UpstreamError && (error.progress === "not_sent" || error.fault === "leaving");

/** @returns Whether another attempt is useful and can't run a non-idempotent request twice. */
export const mayRetry = (error: unknown, progress: RequestProgress): boolean => {
  if (!(error instanceof UpstreamError) || nonRetryableFaults.has(error.fault)) return false;
  if (isRequestInvalid(error)) return false;
  if (progress.delivered && !progress.continuable) return false;
  return progress.idempotent || !progress.mayHaveRun;
};

const failureBeforeRun = (error: unknown, stopReason: StopReason | undefined): RequestError => {
  if (stopReason === "deadline") return refusals.deadlineExceeded(error);
  if (error instanceof RequestError) return error;
  if (isRequestInvalid(error)) return refusals.rejectedByEngine(error.status ?? 400, error.message, error);
  return refusals.noEngine(defaultRetryAfterSeconds, error);
};

/**
 * Chooses the error with which a failed request ends.
 *
 * @param error - The last failure.
 * @param stopReason - Why the request was stopped; `undefined` if it was not.
 */
export const finalFailure = (
  error: unknown,
  progress: RequestProgress,
  stopReason?: StopReason,
): RequestError => {
  if (!progress.mayHaveRun) return failureBeforeRun(error, stopReason);
  if (error instanceof RequestError && error.failure.status < 500) return error;
  if (!progress.idempotent) {
    return outcomeUnknown("outcome_unknown", "The request was started and its outcome is not known.", error);
  }
  if (stopReason === "deadline") {
    return upstreamFailed("deadline_exceeded", "The answer could not be finished in time.", error, 504);
  }
  if (progress.textMissing === true) return resumeRefusals.textNeeded(error);
  if (progress.delivered) {
    return upstreamFailed("stream_interrupted", "The answer could not be finished.", error);
  }
  return upstreamFailed("upstream_failed", "The upstreams that were tried failed.", error);
};
