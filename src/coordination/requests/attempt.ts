/** One attempt to run a request on an engine: from the choice of the engine to the last piece of the answer. */
import { randomBytes } from "node:crypto";
import { UpstreamError, upstreamError } from "../../protocol/errors.ts";
import type { RequestTrait } from "../../protocol/forwarding/requestTrait.ts";
import type { ModelEngine } from "../../protocol/ModelEngine.ts";
import { cacheSalt } from "../../protocol/prefixLevels.ts";
import type {
  AnswerFrame,
  CompletionRequest,
  EngineAnswer,
  EngineCall,
  RequestContext,
} from "../../protocol/types.ts";
import { metricNames } from "../../state/constants.ts";
import type { EngineDirectory, EngineReplica } from "../../state/engineDirectory.ts";
import type { Metrics } from "../../state/Metrics.ts";
import type { Clock } from "../clock.ts";
import type { EngineCrashMonitor } from "../crashes/engineCrashMonitor.ts";
import type { Assignment, AttemptReport, Scheduler, Work } from "../scheduling/Scheduler.ts";
import { isRequestInvalid, provesNotRun } from "./attemptFailures.ts";
import type { AttemptCanceller } from "./attemptCanceller.ts";
import { createStopper, untilStopped } from "./stopper.ts";
import type { Stopper } from "./stopper.ts";
import { runInBackground } from "../../state/backgroundTasks.ts";

export interface AttemptDependencies {
  readonly directory: EngineDirectory;
  readonly scheduler: Scheduler;
  readonly metrics: Metrics;
  readonly clock: Clock;
  /** @returns The connection to an engine. */
  readonly connect: (engine: EngineReplica) => ModelEngine;
  readonly canceller: AttemptCanceller;
  readonly crashes: EngineCrashMonitor;
}

/** Identifies the attempt that generated a piece of an answer. */
export interface AttemptOrigin {
  readonly attempt: string;
  readonly engineId: string;
  readonly incarnation: string;
  /** Tokens of the whole answer that were generated before this attempt. */
  readonly attemptOffset: number;
}

/** The request to send, and the limits of the attempt. */
export interface AttemptPlan {
  /** Evaluated where the attempt breaks off. */
  readonly traits: () => readonly RequestTrait[];
  readonly context: RequestContext;
  readonly request: CompletionRequest;
  readonly work: Work;
  /** Text that has already been delivered to the caller; the engine continues after it. */
  readonly delivered: { readonly text: string; readonly tokens: number };
  /** Timeout from dispatch to the first piece, milliseconds. */
  readonly firstPieceTimeout: number;
  /** Called right before the request is sent. If it throws, nothing is sent. */
  readonly beforeDispatch: (stopper: Stopper) => Promise<void>;
  /** Called after a dispatch that the engine may have run. */
  readonly onMayHaveRun: () => void;
}

/** How an attempt ended. `left`: the caller disconnected and may reconnect to resume the stream. */
export type AttemptEnd = "finished" | "failed" | "cancelled" | "left";

/** An attempt whose first pieces have arrived. Its user must call `close` once it is done. */
export interface OpenAttempt {
  readonly origin: AttemptOrigin;
  /** @returns The next pieces, or `undefined` at the end of the answer; throws `UpstreamError`. */
  readonly next: () => Promise<readonly AnswerFrame[] | undefined>;
  readonly close: (end: AttemptEnd) => void;
}

/** Counts an engine's failure, and marks the engine as leaving or failed where the failure is its own. */
export const noteEngineFailure = (
  dependencies: AttemptDependencies,
  engineId: string,
  error: unknown,
): void => {
  const { directory, metrics, clock } = dependencies;
  if (!(error instanceof UpstreamError) || error.fault === "cancelled") return;
  metrics.count(metricNames.engineFailures, 1, { fault: error.fault });
  if (error.fault === "crossed") metrics.count(metricNames.crossedAnswers);
  if (error.fault === "leaving") directory.markLeaving(engineId);
  else if (error.fault !== "overloaded" && !isRequestInvalid(error))
    directory.markFailed(engineId, clock.monotonic());
};

/** Prefixes an attempt's id with the id of its request, so that logs show which request it belongs to. */
const createAttemptId = (requestId: string): string => `${requestId}.${randomBytes(4).toString("hex")}`;

/** @returns The id of the request that an attempt was made for. */
export const requestIdOfAttempt = (attempt: string): string => attempt.split(".")[0] ?? attempt;

const unstartedReport: Omit<AttemptReport, "ended"> = {
  incarnation: undefined,
  firstTokenAfter: undefined,
  usage: undefined,
};

/** Turns a cancellation for lack of a first piece into a failure of the engine (`stalled`). */
const classifyFailure = (error: unknown, stopper: Stopper): unknown =>
  stopper.reason() === "silent" && error instanceof UpstreamError && error.fault === "cancelled"
    ? upstreamError("the engine sent no first piece before the timeout", "stalled", error.progress, error)
    : error;

const attemptEndOf = (error: unknown): AttemptEnd =>
  error instanceof UpstreamError && error.fault !== "cancelled" ? "failed" : "cancelled";

const assignEngine = (scheduler: Scheduler, work: Work, stopper: Stopper): Promise<Assignment> =>
  untilStopped(scheduler.assign(work, stopper.signal), stopper, (lateAssignment) =>
    lateAssignment.release({ ended: "cancelled", ...unstartedReport }),
  );

const createCall = (
  attempt: string,
  { context, request, delivered }: AttemptPlan,
  assignment: Assignment,
): EngineCall => ({
  attempt,
  organisation: context.organisation.name,
  request,
  idempotencyKey: context.idempotencyKey,
  priority: assignment.priority ?? context.requestClass.priority,
  cacheSalt: cacheSalt(context.organisation.name),
  delivered,
  stallTimeout: context.requestClass.stallTimeout,
});

/** The progress of an attempt. Only the attempt's own task changes it. */
interface AttemptState {
  report: Omit<AttemptReport, "ended">;
  mayHaveRun: boolean;
  frames: AsyncIterator<readonly AnswerFrame[]> | undefined;
}

/** The steps of one attempt on the engine that was assigned. */
const createAttempt = (
  dependencies: AttemptDependencies,
  plan: AttemptPlan,
  assignment: Assignment,
  stopper: Stopper,
) => {
  const { metrics, clock } = dependencies;
  const { engine } = assignment;
  const attempt = createAttemptId(plan.context.requestId);
  const incarnationBefore = engine.load?.incarnation;
  const state: AttemptState = { report: unstartedReport, mayHaveRun: false, frames: undefined };

  const close = (end: AttemptEnd): void => {
    stopper.detach();
    if (end !== "finished") stopper.stop("superseded");
    runInBackground("closeAnswer", () => state.frames?.return?.(), engine.id);
    if (state.mayHaveRun && end !== "finished")
      dependencies.canceller.cancel(engine, attempt, end === "left");
    assignment.release({ ...state.report, ended: end === "left" ? "cancelled" : end });
  };

  /** Reports a connection that closed early, and waits until it is known whether the engine crashed. */
  const reportBrokenConnection = async (error: unknown): Promise<void> => {
    if (!(error instanceof UpstreamError) || error.fault !== "closed_early") return;
    const incarnation = state.report.incarnation ?? incarnationBefore;
    const hasBegun = state.report.firstTokenAfter !== undefined;
    await dependencies.crashes.noteBrokenConnection(engine, incarnation, {
      traits: plan.traits(),
      hasBegun,
    });
  };

  const dispatch = async (): Promise<EngineAnswer> => {
    const call = createCall(attempt, plan, assignment);
    metrics.count(metricNames.attempts);
    try {
      state.mayHaveRun = true;
      return await dependencies.connect(engine).complete(call, stopper.signal);
    } catch (error) {
      state.mayHaveRun = !provesNotRun(error);
      throw error;
    } finally {
      if (state.mayHaveRun) plan.onMayHaveRun();
    }
  };

  const read = async (): Promise<readonly AnswerFrame[] | undefined> => {
    const next = await state.frames?.next();
    if (next === undefined || next.done === true) return undefined;
    const usage = next.value.findLast((frame) => frame.usage !== undefined)?.usage;
    if (usage !== undefined) state.report = { ...state.report, usage };
    return next.value;
  };

  /** Reads the next pieces. Records failures here, since the callers do not know the engine. */
  const next = async (): Promise<readonly AnswerFrame[] | undefined> => {
    try {
      return await read();
    } catch (error) {
      noteEngineFailure(dependencies, engine.id, error);
      await reportBrokenConnection(error);
      throw error;
    }
  };

  /** Sends the request and waits for the first pieces. Closes the attempt if that fails. */
  const open = async (): Promise<readonly AnswerFrame[] | undefined> => {
    let cancelTimer: (() => void) | undefined;
    try {
      await plan.beforeDispatch(stopper);
      const dispatchedAt = clock.monotonic();
      cancelTimer = clock.after(plan.firstPieceTimeout, () => stopper.stop("silent"));
      const answer = await dispatch();
      state.report = { ...state.report, incarnation: answer.incarnation };
      state.frames = answer.frames[Symbol.asyncIterator]();
      if (answer.weightsVersion !== assignment.weightsVersion) {
        throw upstreamError(
          "the engine answers with weights other than those it was assigned for",
          "wrong_weights",
          "sent",
        );
      }
      const first = await read();
      state.report = { ...state.report, firstTokenAfter: clock.monotonic() - dispatchedAt };
      assignment.markFirstToken();
      return first;
    } catch (error) {
      const failure = classifyFailure(error, stopper);
      noteEngineFailure(dependencies, engine.id, failure);
      close(attemptEndOf(failure));
      await reportBrokenConnection(failure);
      throw failure;
    } finally {
      cancelTimer?.();
    }
  };

  const origin = (): AttemptOrigin => ({
    attempt,
    engineId: engine.id,
    incarnation: state.report.incarnation ?? "",
    attemptOffset: plan.delivered.tokens,
  });

  return { open, next, close, origin };
};

/**
 * Assigns an engine, sends the request to it and waits for the first pieces.
 *
 * @param parent - Stops the attempt when it is stopped itself.
 * @param onAssigned - Called with the id of the engine that was chosen.
 * @returns The attempt with its first pieces. Throws `UpstreamError` if the engine fails, and `RequestError` if no
 * engine can take the work or `beforeDispatch` refuses. An attempt that failed is already closed.
 */
export const openAttempt = async (
  dependencies: AttemptDependencies,
  plan: AttemptPlan,
  parent: Stopper,
  onAssigned: (engineId: string) => void,
): Promise<OpenAttempt> => {
  const stopper = createStopper(parent);
  const assignment = await assignEngine(dependencies.scheduler, plan.work, stopper).catch(
    (error: unknown) => {
      stopper.detach();
      throw error;
    },
  );
  onAssigned(assignment.engine.id);
  const { open, next, close, origin } = createAttempt(dependencies, plan, assignment, stopper);
  let first = await open();
  const takeFirstPieces = (): readonly AnswerFrame[] | undefined => {
    const taken = first;
    first = undefined;
    return taken;
  };
  return { origin: origin(), next: async () => takeFirstPieces() ?? (await next()), close };
};
