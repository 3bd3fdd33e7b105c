/**
 * Runs model requests, new and resumed ones, with retries, hedges and continuations. Used by
 * daemons/router.ts, which serves OpenAI-style completions.
 */
import type { RequestError } from "../../protocol/errors.ts";
import type { AnswerBatch } from "../../protocol/FrontEnd.ts";
import { metricNames } from "../../state/constants.ts";
import type { EngineCrashMonitor } from "../crashes/engineCrashMonitor.ts";
import { noEngineCrashMonitor } from "../crashes/engineCrashMonitor.ts";
import type { QuarantineChecks } from "../crashes/quarantine.ts";
import { noQuarantine } from "../crashes/quarantine.ts";
import { traitsOfJob } from "./fingerprint.ts";
import { createAttemptCanceller } from "./attemptCanceller.ts";
import { finalFailure } from "./attemptFailures.ts";
import { freshStart, runCompletion } from "./completionRun.ts";
import type { RunStart } from "./completionRun.ts";
import type { CompletionRunDependencies } from "./runScope.ts";
import type { OpenAttempt } from "./attempt.ts";
import { deliveredBeforeResume, openResumed } from "./resumption.ts";
import type { ResumeJob } from "./resumption.ts";
import type { Stopper } from "./stopper.ts";
import { RatioRetryBudget } from "./retryBudget.ts";
import type { RetryBudget } from "./retryBudget.ts";
import type { CompletionJob, RunningAnswer } from "./types.ts";

export interface CompletionRunnerDependencies extends Omit<
  CompletionRunDependencies,
  "canceller" | "retryBudget" | "random" | "crashes" | "quarantine" | "traitsOf"
> {
  /** Optional; without it, crashes of engines are not tracked. */
  readonly crashes?: EngineCrashMonitor;
  /** Optional; without it, no request is quarantined. */
  readonly quarantine?: QuarantineChecks<CompletionJob>;
  /** Defaults to a {@link RatioRetryBudget}. */
  readonly retryBudget?: RetryBudget;
  /** Returns a number from 0 up to but not including 1; defaults to `Math.random`. */
  readonly random?: () => number;
}

export interface CompletionRunner {
  /**
   * Starts a request; resolves once its first pieces have arrived.
   *
   * @param signal - Aborted when the caller disconnects.
   * @returns The answer; throws `RequestError`.
   */
  readonly run: (job: CompletionJob, signal: AbortSignal) => Promise<RunningAnswer>;

  /**
   * Resumes an answer; resolves once its next pieces have arrived, or at its end.
   *
   * @param signal - Aborted when the caller disconnects.
   * @returns The rest of the answer; throws `RequestError`.
   */
  readonly resume: (job: ResumeJob, signal: AbortSignal) => Promise<RunningAnswer>;

  /** @returns The remaining retry budgets, for a state dump. */
  readonly dump: () => unknown;
}

const emptyAnswerFailure = (): RequestError =>
  finalFailure(undefined, { idempotent: true, mayHaveRun: true, delivered: false, continuable: true });

const prependBatch = async function* (
  first: AnswerBatch,
  rest: AsyncGenerator<AnswerBatch, void, void>,
): AsyncGenerator<AnswerBatch, void, void> {
  try {
    yield first;
    yield* rest;
  } finally {
    // Releases the attempt also if the reader stops after the first batch, before `rest` has been read. If the
    // reader never starts reading, this block does not run.
    await rest.return();
  }
};

const noBatches = async function* (): AsyncGenerator<AnswerBatch, void, void> {
  // The caller has received every piece; only the end of the stream is missing.
};

export const createCompletionRunner = (options: CompletionRunnerDependencies): CompletionRunner => {
  const { clock, metrics } = options;
  const dependencies: CompletionRunDependencies = {
    ...options,
    crashes: options.crashes ?? noEngineCrashMonitor,
    quarantine: options.quarantine ?? noQuarantine,
    traitsOf: traitsOfJob,
    canceller: createAttemptCanceller(clock, options.connect),
    retryBudget: options.retryBudget ?? new RatioRetryBudget(clock),
    random: options.random ?? Math.random,
  };

  /** @returns `undefined` if no pieces are left. */
  const startRun = async (
    job: CompletionJob,
    start: RunStart,
    signal: AbortSignal,
  ): Promise<RunningAnswer | undefined> => {
    const batches = runCompletion(dependencies, job, start, signal);
    const first = await batches.next();
    if (first.done === true) return undefined;
    return { upstream: first.value.engineId, batches: prependBatch(first.value, batches) };
  };

  const run = async (job: CompletionJob, signal: AbortSignal): Promise<RunningAnswer> => {
    const tags = { class: job.context.requestClass.name };
    metrics.count(metricNames.requests, 1, tags);
    const running = await startRun(job, freshStart(), signal);
    if (running === undefined) throw emptyAnswerFailure();
    metrics.time(metricNames.firstToken, clock.monotonic() - job.context.arrivedAt, tags);
    return running;
  };

  const resume = async (job: ResumeJob, signal: AbortSignal): Promise<RunningAnswer> => {
    metrics.count(metricNames.resumes, 1, { class: job.context.requestClass.name });
    const answer = deliveredBeforeResume(job);
    const open = (stopper: Stopper): Promise<OpenAttempt> => openResumed(dependencies, job, answer, stopper);
    const running = await startRun(job, { answer, open, mayHaveRun: true }, signal);
    return running ?? { upstream: job.point.engineId, batches: noBatches() };
  };

  return { run, resume, dump: () => ({ retryBudgets: dependencies.retryBudget.dump() }) };
};
