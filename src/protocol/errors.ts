/**
 * The error types that cross module boundaries.
 *
 * A {@link RequestError} is reported to the caller: it has the HTTP status, a stable code, the outcome and, if a retry
 * makes sense, the delay before it. An {@link UpstreamError} is reported by a transport about an upstream; the
 * coordination layer either retries or turns it into a {@link RequestError}.
 *
 * Each type has a factory function, since `modern-errors` can't require a field in a constructor.
 */
import ModernError from "modern-errors";
import type { outcomes } from "./constants.ts";

/** How far a failed request may have got; see {@link outcomes}. */
export type Outcome = (typeof outcomes)[keyof typeof outcomes];

/** Base class of the system's error types. */
export const PomelocleatError = ModernError.subclass("PomelocleatError");

/** The part of an error that is reported to the caller. */
export interface RequestFailure {
  /** HTTP status. */
  readonly status: number;
  /** Stable, machine-readable code, for example `unknown_model`. */
  readonly code: string;
  readonly outcome: Outcome;
  /** The request field or header that caused the error. */
  readonly parameter?: string;
  /** Seconds after which the caller may retry the request. */
  readonly retryAfterSeconds?: number;
}

const internalFailure: RequestFailure = { status: 500, code: "internal_error", outcome: "outcome_unknown" };

/** The request failed, and its caller gets an error answer. */
export const RequestError = PomelocleatError.subclass("RequestError", {
  props: { failure: internalFailure },
});
export type RequestError = InstanceType<typeof RequestError> & Error;

/**
 * Creates a {@link RequestError}.
 *
 * @param message - A message for people; sent to the caller.
 * @param failure - The machine-readable part; sent to the caller.
 * @param cause - The underlying error; never sent to the caller.
 */
export const requestError = (message: string, failure: RequestFailure, cause?: unknown): RequestError => {
  const error: RequestError = new RequestError(message, { props: { failure } });
  if (cause !== undefined) error.cause = cause;
  return error;
};

/**
 * How far an attempt had progressed when the upstream failed.
 *
 * - `not_sent`: no byte of the request was sent.
 * - `refused`: the upstream answered that it did not run the request.
 * - `sent`: the request may have been received and run.
 * - `streaming`: part of the answer was received.
 */
export type UpstreamProgress = "not_sent" | "refused" | "sent" | "streaming";

/**
 * The kind of failure of a call to an upstream. `endless`: it sent more than an answer can be, and may have gone on for
 * ever.
 */
export type UpstreamFault =
  | "unreachable"
  | "refused"
  | "leaving"
  | "withheld"
  | "overloaded"
  | "stalled"
  | "closed_early"
  | "malformed"
  | "endless"
  | "crossed"
  | "wrong_weights"
  | "stale_fencing"
  | "condition_failed"
  | "unknown_attempt"
  | "cancelled"
  | "failed";

/** A call to an upstream (an engine or plain service) failed. `status` is the HTTP status, if one was received. */
export const UpstreamError = PomelocleatError.subclass("UpstreamError", {
  props: {
    fault: "failed" as UpstreamFault,
    progress: "sent" as UpstreamProgress,
    status: undefined as number | undefined,
  },
});
export type UpstreamError = InstanceType<typeof UpstreamError> & Error;

/**
 * Creates an {@link UpstreamError}.
 *
 * @param status - The HTTP status, if one was received.
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
 * The kind of failure of a call to the platform's log service or VM list.
 *
 * - `expired`: the requested records are no longer kept.
 * - `beyond_end`: the log ends before the requested offset, although its epoch has not changed.
 * - `epoch_ended`: the store has been restored from a copy since the offset was assigned or the answer was produced.
 */
export type PlatformFault =
  "unreachable" | "overloaded" | "expired" | "beyond_end" | "epoch_ended" | "malformed";

/**
 * A call to a platform service (log service, VM list) failed. `mayHaveTakenEffect` is true if an append may have
 * been stored although no answer was received.
 */
export const PlatformError = PomelocleatError.subclass("PlatformError", {
  props: { fault: "unreachable" as PlatformFault, mayHaveTakenEffect: true },
});
export type PlatformError = InstanceType<typeof PlatformError> & Error;

/** Creates a {@link PlatformError}. */
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

/** Faults after which reading can't continue at its offset: only the newest record of each key can still be read. */
const rereadFaults: ReadonlySet<PlatformFault> = new Set(["expired", "beyond_end", "epoch_ended"]);

/** Whether a failed read means that the whole stream has to be read again. */
export const requiresReread = (error: unknown): boolean =>
  error instanceof PlatformError && rereadFaults.has(error.fault);

/** One problem in a settings or configuration file. */
export interface FileProblem {
  /** Location in the file, for example `organisations[2].models[0]`; empty for the file as a whole. */
  readonly path: string;
  readonly cause: string;
}

/** A settings or configuration file was not accepted; `problems` lists all its problems at once. */
export const FileError = PomelocleatError.subclass("FileError", {
  props: { file: "", problems: [] as readonly FileProblem[] },
});
export type FileError = InstanceType<typeof FileError> & Error;

/** Creates a {@link FileError} whose message has one line for each problem. */
export const fileError = (file: string, problems: readonly FileProblem[]): FileError => {
  const lines = problems.map(
    ({ path, cause }) => `${file}: ${path === "" ? "(whole file)" : path}: ${cause}`,
  );
  return new FileError(lines.join("\n"), { props: { file, problems } });
};
