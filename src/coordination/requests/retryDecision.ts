/** Decides whether and when a request is retried after a failed attempt. */
import { RequestError } from "../../protocol/errors.ts";
import type { RequestContext } from "../../protocol/types.ts";
import { metricNames } from "../../state/constants.ts";
import type { Metrics } from "../../state/Metrics.ts";
import type { Clock } from "../clock.ts";
import { isExemptFromRetryBudget, mayRetry } from "./attemptFailures.ts";
import type { RequestProgress } from "./attemptFailures.ts";
import { pickBackoff } from "./backoff.ts";
import { initialBackoff, maxAttemptsWithoutProgress, timerPrecision } from "./constants.ts";
import type { RetryBudget } from "./retryBudget.ts";
import type { Stopper } from "./stopper.ts";

export interface RetryDecisionDependencies {
  readonly context: RequestContext;
  readonly stopper: Stopper;
  readonly retryBudget: RetryBudget;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly random: () => number;
}

/** The retry decisions of one request. */
export interface RetryDecision {
  /** Called when a new piece of the answer has arrived; resets the count of consecutive failures. */
  readonly noteProgress: () => void;
  /**
   * The time by which an engine has to be assigned, milliseconds on the monotonic clock; an idempotent request's
   * timeout for the first piece is computed from it. It starts anew after each failure, bounded by the completion
   * deadline: the request was admitted, and a late answer is better than none.
   */
  readonly firstTokenDeadline: () => number;
  /**
   * Decides what happens after a failed attempt.
   *
   * @param excluded - Engines that failed this request. Cleared if no other engine can take it.
   * @returns The delay before the next attempt, milliseconds; `undefined` if the request has failed.
   */
  readonly decide: (error: unknown, progress: RequestProgress, excluded: Set<string>) => number | undefined;
}

/** Creates the retry decisions of one request. */
export const createRetryDecision = (dependencies: RetryDecisionDependencies): RetryDecision => {
  const { context, stopper, retryBudget, clock, metrics } = dependencies;
  const { requestClass } = context;
  let failures = 0;
  let refusals = 0;
  let { firstTokenDeadline } = context;

  const recordFailure = (): void => {
    failures += 1;
    refusals = 0;
    const renewedDeadline = Math.min(
      context.completionDeadline,
      clock.monotonic() + requestClass.firstTokenDeadline,
    );
    firstTokenDeadline = Math.max(firstTokenDeadline, renewedDeadline);
  };

  /**
   * Timers that are due at the same time fire in any order. Stops the request with the reason `deadline` if its
   * completion deadline is due, even if the first-piece timeout of its last attempt fired first.
   *
   * @returns The delay if it ends before the given deadline, otherwise `undefined`.
   */
  const delayIfBefore = (deadline: number, delay: number): number | undefined => {
    const now = clock.monotonic();
    if (now + delay < deadline) return delay;
    if (context.completionDeadline - now <= timerPrecision) stopper.stop("deadline");
    return undefined;
  };

  /**
   * The router itself refused the attempt, usually since no engine could be assigned: if engines have failed this
   * request, allows them again after a delay.
   */
  const decideAfterRefusal = (excluded: Set<string>): number | undefined => {
    if (failures === 0) return undefined;
    excluded.clear();
    refusals += 1;
    const delay = initialBackoff + pickBackoff(failures + refusals, dependencies.random);
    return delayIfBefore(firstTokenDeadline, delay);
  };

  const decideAfterFailure = (error: unknown, progress: RequestProgress): number | undefined => {
    recordFailure();
    if (failures >= maxAttemptsWithoutProgress || !mayRetry(error, progress)) return undefined;
    const delay = pickBackoff(failures, dependencies.random);
    if (delayIfBefore(context.completionDeadline, delay) === undefined) return undefined;
    const kind = progress.delivered ? "continuation" : "attempt";
    if (!isExemptFromRetryBudget(error) && !retryBudget.tryTake(requestClass, kind)) {
      metrics.count(metricNames.retriesDenied, 1, { class: requestClass.name });
      return undefined;
    }
    metrics.count(progress.delivered ? metricNames.continuations : metricNames.retries);
    return delay;
  };

  return {
    noteProgress: () => {
      failures = 0;
    },
    firstTokenDeadline: () => firstTokenDeadline,
    decide: (error, progress, excluded) => {
      if (stopper.reason() !== undefined) return undefined;
      if (error instanceof RequestError) return decideAfterRefusal(excluded);
      return decideAfterFailure(error, progress);
    },
  };
};
