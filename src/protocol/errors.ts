/**
 * Every failure that crosses a module boundary, as a type.
 *
 * {@link RequestError} is what a caller sees: it carries the HTTP status, a stable code, the outcome and,
 * where the caller should come back, after how long. {@link UpstreamError} is what a transport reports of
 * a back end; coordination turns it into a retry or into a {@link RequestError}.
 *
 * Each type has a function that makes one, since `modern-errors` cannot require a field in a constructor.
 */
import ModernError from "modern-errors";
import type { outcomes } from "./constants.ts";

/** What a failed request may have done. */
export type Outcome = (typeof outcomes)[keyof typeof outcomes];

/** The base of all typed failures of the system. */
export const PomelocleatError = ModernError.subclass("PomelocleatError");

/** Fields of a failure that a caller sees. */
export interface RequestFailure {
  /** HTTP status. */
  readonly status: number;
  /** Stable machine-readable code, for example `unknown_model`. */
  readonly code: string;
  readonly outcome: Outcome;
  /** The request field or header at fault. */
  readonly parameter?: string;
  /** Seconds after which the same request may be sent again. */
  readonly retryAfterSeconds?: number;
}

const internalFailure: RequestFailure = { status: 500, code: "internal_error", outcome: "outcome_unknown" };

/** A request that ends in an error answer. */
export const RequestError = PomelocleatError.subclass("RequestError", {
  props: { failure: internalFailure },
});
export type RequestError = InstanceType<typeof RequestError> & Error;

/**
 * Makes a {@link RequestError}.
 *
 * @param message - For people; goes to the caller.
 * @param failure - What the caller's program needs.
 * @param cause - The failure behind it; stays in the process.
 */
export const requestError = (message: string, failure: RequestFailure, cause?: unknown): RequestError => {
  const error: RequestError = new RequestError(message, { props: { failure } });
  if (cause !== undefined) error.cause = cause;
  return error;
};

/**
 * How far an attempt had come when the upstream failed.
 *
 * - `not_sent`: no byte of the request left this process.
 * - `refused`: the upstream answered that it did not run the request.
 * - `sent`: the request may have been received and run.
 * - `streaming`: part of the answer has arrived.
 */
export type UpstreamProgress = "not_sent" | "refused" | "sent" | "streaming";

/** What went wrong at an upstream. */
export type UpstreamFault =
  | "unreachable"
  | "refused"
  | "leaving"
  | "withheld"
  | "overloaded"
  | "stalled"
  | "closed_early"
  | "malformed"
  | "crossed"
  | "wrong_weights"
  | "stale_fencing"
  | "condition_failed"
  | "unknown_attempt"
  | "cancelled"
  | "failed";

/** An upstream (engine, plain service) did not do what was asked. `status` is its HTTP status, if any. */
export const UpstreamError = PomelocleatError.subclass("UpstreamError", {
  props: {
    fault: "failed" as UpstreamFault,
    progress: "sent" as UpstreamProgress,
    status: undefined as number | undefined,
  },
});
export type UpstreamError = InstanceType<typeof UpstreamError> & Error;

/**
 * Makes an {@link UpstreamError}.
 *
 * @param status - The HTTP status, where one was received.
 */
export const upstreamError = (
  message: string,
  fault: UpstreamFault,
  progress: UpstreamProgress,
  cause?: unknown,
  status?: number,
): UpstreamError => {
  const error: UpstreamError = new UpstreamError(message, { props: { fault, progress, status } });
  if (cause !== undefined) error.cause = cause;
  return error;
};

/**
 * What went wrong at the platform's log service or VM list.
 *
 * - `expired`: the records asked for are no longer kept.
 * - `beyond_end`: the log ends before the offset asked for, although its epoch has not ended.
 * - `epoch_ended`: the store has returned from a copy since the offset was given out, or the answer was made.
 */
export type PlatformFault =
  "unreachable" | "overloaded" | "expired" | "beyond_end" | "epoch_ended" | "malformed";

/**
 * A platform service (log service, VM list) did not do what was asked. `mayHaveTakenEffect` is true if an
 * append may have been taken although no answer came.
 */
export const PlatformError = PomelocleatError.subclass("PlatformError", {
  props: { fault: "unreachable" as PlatformFault, mayHaveTakenEffect: true },
});
export type PlatformError = InstanceType<typeof PlatformError> & Error;

/** Makes a {@link PlatformError}. */
export const platformError = (
  message: string,
  fault: PlatformFault,
  mayHaveTakenEffect: boolean,
  cause?: unknown,
): PlatformError => {
  const error: PlatformError = new PlatformError(message, { props: { fault, mayHaveTakenEffect } });
  if (cause !== undefined) error.cause = cause;
  return error;
};

/** Faults after which only the newest record of each key can be had. */
const rereadFaults: ReadonlySet<PlatformFault> = new Set(["expired", "beyond_end", "epoch_ended"]);

/** Whether a failed read means that everything has to be read anew. */
export const requiresReread = (error: unknown): boolean =>
  error instanceof PlatformError && rereadFaults.has(error.fault);

/** One thing wrong in a settings or configuration file. */
export interface FileProblem {
  /** Where in the file, for example `organisations[2].models[0]`. */
  readonly path: string;
  readonly cause: string;
}

/** A settings or configuration file that was not accepted; lists everything wrong with it at once. */
export const FileError = PomelocleatError.subclass("FileError", {
  props: { file: "", problems: [] as readonly FileProblem[] },
});
export type FileError = InstanceType<typeof FileError> & Error;

/** Makes a {@link FileError}; its message lists every problem on a line of its own. */
export const fileError = (file: string, problems: readonly FileProblem[]): FileError => {
  const lines = problems.map(
    ({ path, cause }) => `${file}: ${path === "" ? "(whole file)" : path}: ${cause}`,
  );
  return new FileError(lines.join("\n"), { props: { file, problems } });
};
