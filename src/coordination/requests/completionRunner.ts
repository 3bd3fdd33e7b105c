/** Runs model requests: from the first choice of an engine to the last piece of the answer. */
import type { RequestError } from "../../protocol/errors.ts";
import type { AnswerBatch } from "../../protocol/FrontEnd.ts";
import { metricNames } from "../../state/constants.ts";
import { createAttemptCanceller } from "./attemptCanceller.ts";
import { finalFailure } from "./attemptFailures.ts";
import { freshStart, runCompletion } from "./completionRun.ts";
import type { RunStart } from "./completionRun.ts";
import type { CompletionRunParts } from "./runScope.ts";
import { RatioRetryBudget } from "./retryBudget.ts";
import type { RetryBudget } from "./retryBudget.ts";
import type { CompletionJob, RunningAnswer } from "./types.ts";

/** What the runner works with. */
export interface CompletionRunnerParts extends Omit<
  CompletionRunParts,
  "canceller" | "retryBudget" | "random"
> {
  /** Without it retries are a share of successes. */
  readonly retryBudget?: RetryBudget;
  readonly random?: () => number;
}

/** Runs model requests. */
export interface CompletionRunner {
  /**
   * Starts a request; resolves with its first pieces.
   *
   * @param signal - Aborted when the caller goes away.
   * @returns The answer; throws `RequestError`.
   */
  readonly run: (job: CompletionJob, signal: AbortSignal) => Promise<RunningAnswer>;
}

const noAnswer = (): RequestError =>
  finalFailure(undefined, { idempotent: true, mayHaveRun: true, delivered: false, continuable: true });

const withFirst = async function* (
  first: AnswerBatch,
  rest: AsyncGenerator<AnswerBatch, void, void>,
): AsyncGenerator<AnswerBatch, void, void> {
  try {
    yield first;
    yield* rest;
  } finally {
    // Also where the reader stops after the first piece: the attempt has to be released.
    await rest.return();
  }
};

/** Makes a runner. */
export const createCompletionRunner = (given: CompletionRunnerParts): CompletionRunner => {
  const { clock, metrics } = given;
  const parts: CompletionRunParts = {
    ...given,
    canceller: createAttemptCanceller(clock, given.connect),
    retryBudget: given.retryBudget ?? new RatioRetryBudget(clock),
    random: given.random ?? Math.random,
  };

  const begin = async (job: CompletionJob, start: RunStart, signal: AbortSignal): Promise<RunningAnswer> => {
    const batches = runCompletion(parts, job, start, signal);
    const first = await batches.next();
    if (first.done === true) throw noAnswer();
    const elapsed = clock.monotonic() - job.context.arrivedAt;
    metrics.time(metricNames.firstToken, elapsed, { class: job.context.requestClass.name });
    return { upstream: first.value.engineId, batches: withFirst(first.value, batches) };
  };

  const run = (job: CompletionJob, signal: AbortSignal): Promise<RunningAnswer> => {
    metrics.count(metricNames.requests, 1, { class: job.context.requestClass.name });
    return begin(job, freshStart(), signal);
  };

  return { run };
};
