/** One model request under way: attempt after attempt until its answer is whole or can't be finished. */
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

/** Where a run begins: at the start of the answer, or after what the caller has of it. */
export interface RunStart {
  readonly answer: DeliveredAnswer;
  /** Opens the first attempt, where it is under way already. */
  readonly open: ((stopper: Stopper) => Promise<OpenAttempt>) | undefined;
  readonly mayHaveRun: boolean;
}

const millisecondsPerSecond = 1_000;

/** A run from the beginning. */
export const freshStart = (): RunStart => ({ answer: emptyAnswer(), open: undefined, mayHaveRun: false });

/**
 * Throws the switch when the caller goes, unless the request must run to its end, and at the deadline.
 *
 * @returns A function that ends the watch.
 */
export const stopOnDisconnectOrDeadline = (
  { context }: CompletionJob,
  { clock }: CompletionRunDependencies,
  stopper: Stopper,
  caller: AbortSignal,
): (() => void) => {
  const leave = (): void => stopper.stop("caller_left");
  // What may run only once runs to its end, so that its outcome can be known.
  if (context.idempotent) caller.addEventListener("abort", leave);
  if (context.idempotent && caller.aborted) leave();
  const left = context.completionDeadline - clock.monotonic();
  const callOff = clock.after(left, () => stopper.stop("deadline"));
  return () => {
    caller.removeEventListener("abort", leave);
    callOff();
  };
};

const createScope = (parts: CompletionRunDependencies, job: CompletionJob, start: RunStart): RunScope => {
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
  const retries = createRetryDecision({ ...parts, context: job.context, stopper });
  return { dependencies: parts, job, state, stopper, retries };
};

const progressOf = ({ job, state }: RunScope): RequestProgress => ({
  idempotent: job.context.idempotent,
  mayHaveRun: state.mayHaveRun,
  delivered: hasBegun(state.answer),
  continuable: state.answer.continuable && state.answer.textKnown,
  textMissing: !state.answer.textKnown,
});

const giveUp = (scope: RunScope, error: unknown): RequestError =>
  finalFailure(error, progressOf(scope), scope.stopper.reason());

/** A request that crashes the engines that run it is turned away at once; costs a look where nothing is held back. */
const checkQuarantine = async ({ dependencies: parts, job }: RunScope): Promise<void> => {
  const wait = await parts.quarantine.admit(job);
  if (wait === undefined) return;
  parts.metrics.count(metricNames.quarantined);
  throw refusals.quarantined(wait / millisecondsPerSecond);
};

/**
 * The attempt before may have shown that the request crashes the engines that run it. An answer of which the caller has
 * a part goes on once all the same: whole, it shows that the crashes had another cause.
 */
const mayGoOn = ({ dependencies: parts, job, state }: RunScope): boolean =>
  !parts.quarantine.isQuarantined(job) || (!state.hasContinuedQuarantined && hasBegun(state.answer));

/** Waits before the next attempt; throws `RequestError` where there is to be none. */
const prepareRetry = async (scope: RunScope, error: unknown): Promise<void> => {
  const { dependencies: parts, state, stopper, retries } = scope;
  const delay = retries.decide(error, progressOf(scope), state.excluded);
  if (delay === undefined) throw giveUp(scope, error);
  await pause(parts.clock, delay, stopper.signal);
  if (stopper.signal.aborted || !mayGoOn(scope)) throw giveUp(scope, error);
};

/** Ends a claim the way the request ended; a lost record errs to the side of `outcome_unknown`. */
const settleClaim = async ({ claim, finished, mayHaveRun }: RunState): Promise<void> => {
  if (finished) await claim?.complete("finished").catch(() => undefined);
  else if (mayHaveRun) await claim?.abandon().catch(() => undefined);
  else await claim?.release().catch(() => undefined);
};

/**
 * Runs a request.
 *
 * @param caller - Aborted when the caller goes away.
 * @returns The pieces; throws `RequestError` where the answer can't be finished.
 */
export const runCompletion = async function* (
  parts: CompletionRunDependencies,
  job: CompletionJob,
  start: RunStart,
  caller: AbortSignal,
): AsyncGenerator<AnswerBatch, void, void> {
  const scope = createScope(parts, job, start);
  const { state } = scope;
  const openNext = createAttemptOpener(scope);
  const unwatch = stopOnDisconnectOrDeadline(job, parts, scope.stopper, caller);
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
        if (state.mayHaveRun) parts.quarantine.noteFailed(job);
        await prepareRetry(scope, error);
      }
    }
    parts.retryBudget.deposit(job.context.requestClass);
    parts.quarantine.noteAnswered(job);
  } finally {
    unwatch();
    await settleClaim(state);
  }
};
