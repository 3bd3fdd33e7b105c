/**
 * Runs one model request from assignment to the last token: one task that picks an engine, relays its pieces,
 * and goes on elsewhere where the class and the request allow it.
 */
import { createHash, randomUUID } from "node:crypto";
import type { RequestError } from "../../protocol/errors.ts";
import { UpstreamError, upstreamError } from "../../protocol/errors.ts";
import type { AnswerBatch } from "../../protocol/FrontEnd.ts";
import type { ModelEngine } from "../../protocol/ModelEngine.ts";
import { cacheSalt, computePrefixLevels } from "../../protocol/prefixLevels.ts";
import type { AnswerFrame, EngineAnswer, Usage } from "../../protocol/types.ts";
import { metricNames } from "../../state/constants.ts";
import type { EngineDirectory, EngineReplica } from "../../state/engineDirectory.ts";
import type { Metrics } from "../../state/Metrics.ts";
import type { Claim, ClaimLedger } from "../claims/ClaimLedger.ts";
import type { Clock } from "../clock.ts";
import type { Assignment, AttemptReport, Scheduler, Work } from "../scheduling/Scheduler.ts";
import { finalFailure, mayTryAgain, provesNotRun } from "./attemptFailures.ts";
import type { RequestProgress } from "./attemptFailures.ts";
import type { CompletionJob, RunningAnswer } from "./types.ts";

const maximumAttempts = 3;

/** What the runner works with. */
export interface CompletionRunnerParts {
  readonly directory: EngineDirectory;
  readonly scheduler: Scheduler;
  readonly claims: ClaimLedger;
  readonly metrics: Metrics;
  readonly clock: Clock;
  /** The connection to an engine. */
  readonly connect: (engine: EngineReplica) => ModelEngine;
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

/** What has become of one request so far; changed by its own task only. */
interface RequestState {
  readonly excluded: Set<string>;
  text: string;
  tokens: number;
  attempts: number;
  continuable: boolean;
  mayHaveRun: boolean;
  claim: Claim | undefined;
}

const unstartedReport: AttemptReport = {
  ended: "cancelled",
  incarnation: undefined,
  firstTokenAfter: undefined,
  usage: undefined,
};

const newState = (): RequestState => ({
  excluded: new Set(),
  text: "",
  tokens: 0,
  attempts: 0,
  continuable: true,
  mayHaveRun: false,
  claim: undefined,
});

const progressOf = (job: CompletionJob, state: RequestState): RequestProgress => ({
  idempotent: job.context.idempotent,
  mayHaveRun: state.mayHaveRun,
  delivered: state.tokens > 0 || !state.continuable,
  continuable: state.continuable,
});

const createWork = ({ context, request, index }: CompletionJob, excluded: ReadonlySet<string>): Work => {
  const weightsVersion = index.models.get(request.model)?.weightsVersion ?? "";
  const scope = {
    organisation: context.organisation.name,
    model: request.model,
    adapter: request.adapter,
    weightsVersion,
  };
  const levels = computePrefixLevels(scope, request.segments);
  return {
    context,
    pools: (index.poolsByModel.get(request.model) ?? []).map((pool) => pool.name),
    weightsVersions: [weightsVersion],
    levels,
    promptTokens: levels.at(-1)?.tokens ?? 0,
    maximumTokens: request.maximumTokens,
    excluded,
  };
};

const fingerprintOf = ({ request }: CompletionJob): string =>
  createHash("sha256").update(JSON.stringify(request.body)).digest("base64url");

/** Notes what a batch adds to the answer, and counts usage over all attempts. */
const recordFrames = (
  state: RequestState,
  frames: readonly AnswerFrame[],
  attemptOffset: number,
): readonly AnswerFrame[] =>
  frames.map((frame) => {
    if (frame.text !== "") {
      state.text += frame.text;
      state.tokens += 1;
    }
    if (frame.extra !== undefined) state.continuable = false;
    if (frame.usage === undefined || attemptOffset === 0) return frame;
    const usage: Usage = {
      ...frame.usage,
      promptTokens: frame.usage.promptTokens - attemptOffset,
      completionTokens: frame.usage.completionTokens + attemptOffset,
    };
    return { ...frame, usage };
  });

/** Ends a claim the way the request ended; a lost record errs to the side of `outcome_unknown`. */
const settleClaim = async (state: RequestState, finished: boolean): Promise<void> => {
  const { claim } = state;
  if (claim === undefined) return;
  const settle = finished
    ? claim.complete("finished")
    : state.mayHaveRun
      ? Promise.resolve()
      : claim.release();
  await settle.catch(() => undefined);
};

/** Makes a runner. */
export const createCompletionRunner = (parts: CompletionRunnerParts): CompletionRunner => {
  const { directory, scheduler, claims, metrics, clock } = parts;

  /** What a failure says about the engine itself, whoever asked. */
  const noteFailure = (assignment: Assignment, error: unknown): void => {
    if (!(error instanceof UpstreamError) || error.fault === "cancelled") return;
    metrics.count(metricNames.engineFailures, 1, { fault: error.fault });
    if (error.fault === "crossed") metrics.count(metricNames.crossedAnswers);
    if (error.fault === "leaving") directory.markLeaving(assignment.engine.id);
    else if (error.fault !== "overloaded") directory.markFailed(assignment.engine.id, clock.monotonic());
  };

  const dispatch = async (
    job: CompletionJob,
    state: RequestState,
    assignment: Assignment,
    attempt: string,
    signal: AbortSignal,
  ): Promise<EngineAnswer> => {
    const { context, request } = job;
    if (!context.idempotent) state.claim ??= await claims.claim(context, fingerprintOf(job));
    state.attempts += 1;
    metrics.count(state.attempts === 1 ? metricNames.attempts : metricNames.retries);
    const call = {
      attempt,
      organisation: context.organisation.name,
      request,
      idempotencyKey: context.idempotencyKey,
      priority: context.requestClass.priority,
      cacheSalt: cacheSalt(context.organisation.name),
      delivered: { text: state.text, tokens: state.tokens },
      stallTimeout: context.requestClass.stallTimeout,
    };
    const answer = await parts.connect(assignment.engine).complete(call, signal);
    if (answer.weightsVersion !== assignment.weightsVersion) {
      throw upstreamError("the engine answers with other weights", "wrong_weights", "sent");
    }
    return answer;
  };

  /** One attempt, from assignment to its last piece. */
  const runAttempt = async function* (
    job: CompletionJob,
    state: RequestState,
    signal: AbortSignal,
  ): AsyncGenerator<AnswerBatch, void, void> {
    const assignment = await scheduler.assign(createWork(job, state.excluded), signal);
    const attempt = randomUUID();
    const dispatchedAt = clock.monotonic();
    let current = unstartedReport;
    try {
      const attemptOffset = state.tokens;
      const answer = await dispatch(job, state, assignment, attempt, signal);
      state.mayHaveRun = true;
      current = { ...current, incarnation: answer.incarnation };
      const origin = {
        attempt,
        engineId: assignment.engine.id,
        incarnation: answer.incarnation,
        attemptOffset,
      };
      for await (const received of answer.frames) {
        if (current.firstTokenAfter === undefined) {
          current = { ...current, firstTokenAfter: clock.monotonic() - dispatchedAt };
          assignment.markFirstToken();
        }
        const firstOffset = state.tokens;
        const usage = received.findLast((frame) => frame.usage !== undefined)?.usage;
        if (usage !== undefined) current = { ...current, usage };
        yield { frames: recordFrames(state, received, attemptOffset), firstOffset, ...origin };
      }
      current = { ...current, ended: "finished" };
    } catch (error) {
      current = { ...current, ended: "failed" };
      state.excluded.add(assignment.engine.id);
      if (!provesNotRun(error) && error instanceof UpstreamError) state.mayHaveRun = true;
      noteFailure(assignment, error);
      throw error;
    } finally {
      if (current.ended !== "finished" && state.mayHaveRun) {
        // The engine may still generate; a failure to tell it costs only its time.
        parts
          .connect(assignment.engine)
          .cancel(attempt)
          .catch(() => undefined);
      }
      assignment.release(current);
    }
  };

  const runAll = async function* (
    job: CompletionJob,
    signal: AbortSignal,
  ): AsyncGenerator<AnswerBatch, void, void> {
    const state = newState();
    let finished = false;
    try {
      while (!finished) {
        try {
          yield* runAttempt(job, state, signal);
          finished = true;
        } catch (error) {
          const progress = progressOf(job, state);
          const again = state.attempts < maximumAttempts && mayTryAgain(error, progress) && !signal.aborted;
          if (!again) throw finalFailure(error, progress);
          if (progress.delivered) metrics.count(metricNames.continuations);
        }
      }
    } finally {
      await settleClaim(state, finished);
    }
  };

  const run = async (job: CompletionJob, signal: AbortSignal): Promise<RunningAnswer> => {
    metrics.count(metricNames.requests, 1, { class: job.context.requestClass.name });
    const batches = runAll(job, signal);
    const first = await batches.next();
    if (first.done === true) throw emptyAnswer();
    const elapsed = clock.monotonic() - job.context.arrivedAt;
    metrics.time(metricNames.firstToken, elapsed, { class: job.context.requestClass.name });
    return { upstream: first.value.engineId, batches: withFirst(first.value, batches) };
  };

  return { run };
};

const emptyAnswer = (): RequestError =>
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
