/** Errors of requests whose claim is not granted; docs/operators/refusals.md describes each code. */
import { headers, outcomes } from "../../protocol/constants.ts";
import type { Outcome, RequestError } from "../../protocol/errors.ts";
import { requestError } from "../../protocol/errors.ts";

const inProgressRetryAfterSeconds = 2;

const keyFailure = (status: number, code: string, outcome: Outcome, message: string): RequestError =>
  requestError(message, { status, code, outcome, parameter: headers.idempotencyKey });

export const claimFailures = {
  keyWithoutTime: () =>
    keyFailure(
      400,
      "invalid_idempotency_key",
      outcomes.notRun,
      "The key must contain its issue time: use a UUID version 7, a ULID, or MILLISECONDS-RANDOM.",
    ),
  keyFromFuture: () =>
    keyFailure(
      400,
      "idempotency_key_from_future",
      outcomes.notRun,
      "The key's issue time lies in the future: check the clock of the system that issued it.",
    ),
  keyTooOld: () =>
    keyFailure(
      409,
      "idempotency_key_too_old",
      outcomes.outcomeUnknown,
      "The key is older than the period for which claims are kept: the request may have run.",
    ),
  keyReused: () =>
    keyFailure(
      422,
      "idempotency_key_reused",
      outcomes.notRun,
      "The key was used for a different request; this request was not run.",
    ),
  inProgress: () =>
    requestError("A request with this idempotency key was started, and its outcome is not known.", {
      status: 409,
      code: "already_claimed",
      outcome: outcomes.outcomeUnknown,
      parameter: headers.idempotencyKey,
      retryAfterSeconds: inProgressRetryAfterSeconds,
    }),
  alreadyCompleted: (summary: string) =>
    keyFailure(
      409,
      "already_completed",
      outcomes.completed,
      `The request with this idempotency key has completed (${summary}); its answer is not kept.`,
    ),
} as const;
