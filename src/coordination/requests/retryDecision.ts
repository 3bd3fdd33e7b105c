/** Whether and when a request that failed is tried again. */
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

/** What decisions about one request depend on. */
export interface RetryDecisionDependencies {
  readonly context: RequestContext;
  readonly stopper: Stopper;
  readonly retryBudget: RetryBudget;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly random: () => number;
}

/** Decides about the retries of one request. */
export interface RetryDecision {
  /** The answer has got on: what failed before no longer counts. */
  readonly noteProgress: () => void;
  /**
   * Until when an engine has to be found. Once an engine has failed, the request gets the time of a new one:
   * better late than lost.
   */
  readonly firstTokenDeadline: () => number;
  /**
   * @param excluded - Engines that failed the request; emptied where no other one is left.
   * @returns After how many milliseconds to try again; undefined where the request has to be given up.
   */
  readonly decide: (error: unknown, progress: RequestProgress, excluded: Set<string>) => number | undefined;
}

/** Makes the decisions of one request. */
export const createRetryDecision = (parts: RetryDecisionDependencies): RetryDecision => {
  const { context, stopper, retryBudget, clock, metrics } = parts;
  const { requestClass } = context;
  let failures = 0;
  let refusals = 0;
  let { firstTokenDeadline } = context;

  const noteFailure = (): void => {
    failures += 1;
    refusals = 0;
    const renewed = Math.min(context.completionDeadline, clock.monotonic() + requestClass.firstTokenDeadline);
    firstTokenDeadline = Math.max(firstTokenDeadline, renewed);
  };

  /**
   * Timers that are due together fire in any order: a request whose time is over has failed by its deadline, also where
   * the silence of its last attempt was noticed first.
   *
   * @returns The delay, if it is over before the deadline.
   */
  const before = (deadline: number, delay: number): number | undefined => {
    const now = clock.monotonic();
    if (now + delay < deadline) return delay;
    if (context.completionDeadline - now <= timerPrecision) stopper.stop("deadline");
    return undefined;
  };

  /** No engine takes the work just now, because those that do are the ones that failed. */
  const waitForEngine = (excluded: Set<string>): number | undefined => {
    if (failures === 0) return undefined;
    excluded.clear();
    refusals += 1;
    const delay = initialBackoff + pickBackoff(failures + refusals, parts.random);
    return before(firstTokenDeadline, delay);
  };

  const tryAgain = (error: unknown, progress: RequestProgress): number | undefined => {
    noteFailure();
    if (failures >= maxAttemptsWithoutProgress || !mayRetry(error, progress)) return undefined;
    const delay = pickBackoff(failures, parts.random);
    if (before(context.completionDeadline, delay) === undefined) return undefined;
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
      if (error instanceof RequestError) return waitForEngine(excluded);
      return tryAgain(error, progress);
    },
  };
};
