/** Runs one model request: makes attempts until the answer is complete or can't be completed. */
import { upstreamError } from "../../protocol/errors.ts";
import type { RequestError } from "../../protocol/errors.ts";
import type { AnswerBatch } from "../../protocol/FrontEnd.ts";
import { metricNames } from "../../state/constants.ts";
import { pause } from "../clock.ts";
import { emptyAnswer, hasBegun } from "./deliveredAnswer.ts";
import type { DeliveredAnswer } from "./deliveredAnswer.ts";
import type { OpenAttempt } from "./attempt.ts";
import { finalFailure } from "./attemptFailures.ts";
import type { RequestProgress } from "./attemptFailures.ts";
import { createAttemptOpener } from "./attemptOpener.ts";
import { refusals } from "./refusals.ts";
import { relayAttempt } from "./relay.ts";
import { createRetryDecision } from "./retryDecision.ts";
import type { CompletionRunDependencies, RunScope, RunState } from "./runScope.ts";
import { createStopper } from "./stopper.ts";
import type { Stopper } from "./stopper.ts";
import type { CompletionJob } from "./types.ts";

/** Where a run starts: at the beginning of the answer, or after the part that the caller already has. */
export interface RunStart {
  readonly answer: DeliveredAnswer;
  /** Opens the first attempt if it is already running on an engine; `undefined` for a new request. */
  readonly open: ((stopper: Stopper) => Promise<OpenAttempt>) | undefined;
  readonly mayHaveRun: boolean;
}

const millisecondsPerSecond = 1_000;

/** @returns The start of a new request. */
export const freshStart = (): RunStart => ({ answer: emptyAnswer(), open: undefined, mayHaveRun: false });

/**
 * Stops a request at its completion deadline and, if it is idempotent, when its caller disconnects.
 *
 * @param caller - Aborted when the caller disconnects.
 * @returns A function that removes the timer and the listener.
 */
export const stopOnDisconnectOrDeadline = (
  { context }: CompletionJob,
  { clock }: CompletionRunDependencies,
  stopper: Stopper,
  caller: AbortSignal,
): (() => void) => {
  const stopForCaller = (): void => stopper.stop("caller_left");
  // A non-idempotent request runs to its end, so that its outcome is known.
  if (context.idempotent) caller.addEventListener("abort", stopForCaller);
  if (context.idempotent && caller.aborted) stopForCaller();
  const remaining = context.completionDeadline - clock.monotonic();
  const cancelTimer = clock.after(remaining, () => stopper.stop("deadline"));
  return () => {
    caller.removeEventListener("abort", stopForCaller);
    cancelTimer();
  };
};

const createScope = (
  dependencies: CompletionRunDependencies,
  job: CompletionJob,
  start: RunStart,
): RunScope => {
  const stopper = createStopper();
  const state: RunState = {
    answer: start.answer,
    excluded: new Set(),
    wasAdmitted: start.mayHaveRun,
    mayHaveRun: start.mayHaveRun,
    claim: undefined,
    hasContinuedQuarantined: false,
    finished: false,
  };
  const retries = createRetryDecision({ ...dependencies, context: job.context, stopper });
  return { dependencies, job, state, stopper, retries };
};

const toProgress = ({ job, state }: RunScope): RequestProgress => ({
  idempotent: job.context.idempotent,
  mayHaveRun: state.mayHaveRun,
  delivered: hasBegun(state.answer),
  continuable: state.answer.continuable && state.answer.textKnown,
  textMissing: !state.answer.textKnown,
});

const toFinalFailure = (scope: RunScope, error: unknown): RequestError =>
  finalFailure(error, toProgress(scope), scope.stopper.reason());

/** Refuses a request that is quarantined for crashing engines. Cheap while no request is quarantined. */
const checkQuarantine = async ({ dependencies, job }: RunScope): Promise<void> => {
  const retryAfter = await dependencies.quarantine.admit(job);
  if (retryAfter === undefined) return;
  dependencies.metrics.count(metricNames.quarantined);
  throw refusals.quarantined(retryAfter / millisecondsPerSecond);
};

/**
 * Checks the quarantine before a retry, since the previous attempt may have shown that the request crashes engines. A
 * quarantined request whose answer was partly delivered is still continued once: if that completes the answer, the
 * crashes had another cause.
 */
const mayContinue = ({ dependencies, job, state }: RunScope): boolean =>
  !dependencies.quarantine.isQuarantined(job) || (!state.hasContinuedQuarantined && hasBegun(state.answer));

/** Waits for the backoff delay of the next attempt; throws `RequestError` if there is to be no retry. */
const waitBeforeRetry = async (scope: RunScope, error: unknown): Promise<void> => {
  const { dependencies, state, stopper, retries } = scope;
  const delay = retries.decide(error, toProgress(scope), state.excluded);
  if (delay === undefined) throw toFinalFailure(scope, error);
  await pause(dependencies.clock, delay, stopper.signal);
  if (stopper.signal.aborted || !mayContinue(scope)) throw toFinalFailure(scope, error);
};

/** Records the outcome of the request in its claim. If the record is lost, a retry is answered `outcome_unknown`. */
const settleClaim = async ({ claim, finished, mayHaveRun }: RunState): Promise<void> => {
  if (finished) await claim?.complete("finished").catch(() => undefined);
  else if (mayHaveRun) await claim?.abandon().catch(() => undefined);
  else await claim?.release().catch(() => undefined);
};

/**
 * Runs a request and yields the pieces of its answer.
 *
 * @param caller - Aborted when the caller disconnects.
 * @returns The pieces, in order; throws `RequestError` if the answer can't be completed.
 */
export const runCompletion = async function* (
  dependencies: CompletionRunDependencies,
  job: CompletionJob,
  start: RunStart,
  caller: AbortSignal,
): AsyncGenerator<AnswerBatch, void, void> {
  const scope = createScope(dependencies, job, start);
  const { state } = scope;
  const openNext = createAttemptOpener(scope);
  const detachStopper = stopOnDisconnectOrDeadline(job, dependencies, scope.stopper, caller);
  let open = start.open ?? openNext;
  try {
    if (start.open === undefined) await checkQuarantine(scope);
    while (!state.finished) {
      try {
        const attempt = await open(scope.stopper);
        yield* relayAttempt(scope, attempt);
        if (!hasBegun(state.answer)) throw upstreamError("the answer is empty", "malformed", "streaming");
      } catch (error) {
        state.finished = false;
        open = openNext;
        if (state.mayHaveRun) dependencies.quarantine.noteFailed(job);
        await waitBeforeRetry(scope, error);
      }
    }
    dependencies.retryBudget.deposit(job.context.requestClass);
    dependencies.quarantine.noteAnswered(job, true);
  } finally {
    detachStopper();
    await settleClaim(state);
  }
};
