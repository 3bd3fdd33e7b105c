/** Why a claim was not given; docs/operators/refusals.md describes each code. */
import { headers, outcomes } from "../../protocol/constants.ts";
import type { Outcome, RequestError } from "../../protocol/errors.ts";
import { requestError } from "../../protocol/errors.ts";

const inProgressRetryAfter = 2;

const keyFailure = (status: number, code: string, outcome: Outcome, message: string): RequestError =>
  requestError(message, { status, code, outcome, parameter: headers.idempotencyKey });

export const claimFailures = {
  keyWithoutTime: () =>
    keyFailure(
      400,
      "invalid_idempotency_key",
      outcomes.notRun,
      "The key must tell when it was issued: a UUID version 7, a ULID, or MILLISECONDS-RANDOM.",
    ),
  keyFromFuture: () =>
    keyFailure(
      400,
      "idempotency_key_from_future",
      outcomes.notRun,
      "The key's issue time lies in the future: check the clock that issued it.",
    ),
  keyTooOld: () =>
    keyFailure(
      409,
      "idempotency_key_too_old",
      outcomes.outcomeUnknown,
      "The key was issued longer ago than claims are kept: the request may have run.",
    ),
  keyReused: () =>
    keyFailure(
      422,
      "idempotency_key_reused",
      outcomes.notRun,
      "The key was used for another request; this one was not run.",
    ),
  inProgress: () =>
    requestError("A request with this idempotency key was started, and its outcome is not known.", {
      status: 409,
      code: "already_claimed",
      outcome: outcomes.outcomeUnknown,
      parameter: headers.idempotencyKey,
      retryAfterSeconds: inProgressRetryAfter,
    }),
  alreadyCompleted: (summary: string) =>
    keyFailure(
      409,
      "already_completed",
      outcomes.completed,
      `The request with this idempotency key ran to its end (${summary}); its answer is not kept.`,
    ),
} as const;
