/** Runs model requests: from the first choice of an engine to the last piece of the answer. */
import type { RequestError } from "../../protocol/errors.ts";
import type { AnswerBatch } from "../../protocol/FrontEnd.ts";
import { metricNames } from "../../state/constants.ts";
import type { EngineCrashMonitor } from "../crashes/engineCrashMonitor.ts";
import { noEngineCrashMonitor } from "../crashes/engineCrashMonitor.ts";
import type { QuarantineChecks } from "../crashes/quarantine.ts";
import { noQuarantine } from "../crashes/quarantine.ts";
import { fingerprintOfJob } from "./fingerprint.ts";
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

/** What the runner works with. */
export interface CompletionRunnerDependencies extends Omit<
  CompletionRunDependencies,
  "canceller" | "retryBudget" | "random" | "crashes" | "quarantine" | "fingerprintOf"
> {
  /** Without these no request is held back. */
  readonly crashes?: EngineCrashMonitor;
  readonly quarantine?: QuarantineChecks<CompletionJob>;
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

  /** Goes on with an answer; resolves with its next pieces, or at its end. Throws `RequestError`. */
  readonly resume: (job: ResumeJob, signal: AbortSignal) => Promise<RunningAnswer>;

  /** What is left of retry budgets, for a state dump. */
  readonly dump: () => unknown;
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

const noBatches = async function* (): AsyncGenerator<AnswerBatch, void, void> {
  // The caller has everything but the end mark.
};

/** Makes a runner. */
export const createCompletionRunner = (given: CompletionRunnerDependencies): CompletionRunner => {
  const { clock, metrics } = given;
  const parts: CompletionRunDependencies = {
    ...given,
    crashes: given.crashes ?? noEngineCrashMonitor,
    quarantine: given.quarantine ?? noQuarantine,
    fingerprintOf: fingerprintOfJob,
    canceller: createAttemptCanceller(clock, given.connect),
    retryBudget: given.retryBudget ?? new RatioRetryBudget(clock),
    random: given.random ?? Math.random,
  };

  /** @returns Undefined if the answer is at its end. */
  const begin = async (
    job: CompletionJob,
    start: RunStart,
    signal: AbortSignal,
  ): Promise<RunningAnswer | undefined> => {
    const batches = runCompletion(parts, job, start, signal);
    const first = await batches.next();
    if (first.done === true) return undefined;
    return { upstream: first.value.engineId, batches: withFirst(first.value, batches) };
  };

  const run = async (job: CompletionJob, signal: AbortSignal): Promise<RunningAnswer> => {
    const tags = { class: job.context.requestClass.name };
    metrics.count(metricNames.requests, 1, tags);
    const running = await begin(job, freshStart(), signal);
    if (running === undefined) throw noAnswer();
    metrics.time(metricNames.firstToken, clock.monotonic() - job.context.arrivedAt, tags);
    return running;
  };

  const resume = async (job: ResumeJob, signal: AbortSignal): Promise<RunningAnswer> => {
    metrics.count(metricNames.resumes, 1, { class: job.context.requestClass.name });
    const answer = deliveredBeforeResume(job);
    const open = (stopper: Stopper): Promise<OpenAttempt> => openResumed(parts, job, answer, stopper);
    const running = await begin(job, { answer, open, mayHaveRun: true }, signal);
    return running ?? { upstream: job.point.engineId, batches: noBatches() };
  };

  return { run, resume, dump: () => ({ retryBudgets: parts.retryBudget.dump() }) };
};
