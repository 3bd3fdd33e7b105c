/** One attempt at an engine: from the choice of the engine to the answer's last piece. */
import { randomBytes } from "node:crypto";
import { UpstreamError, upstreamError } from "../../protocol/errors.ts";
import type { Fingerprint } from "../../protocol/forwarding/fingerprint.ts";
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

/** What attempts work with. */
export interface AttemptDependencies {
  readonly directory: EngineDirectory;
  readonly scheduler: Scheduler;
  readonly metrics: Metrics;
  readonly clock: Clock;
  /** The connection to an engine. */
  readonly connect: (engine: EngineReplica) => ModelEngine;
  readonly canceller: AttemptCanceller;
  readonly crashes: EngineCrashMonitor;
}

/** Where pieces come from. */
export interface AttemptOrigin {
  readonly attempt: string;
  readonly engineId: string;
  readonly incarnation: string;
  /** Tokens of the whole answer that came before this attempt. */
  readonly attemptOffset: number;
}

/** What an attempt is to do. */
export interface AttemptPlan {
  readonly fingerprint: Fingerprint;
  readonly context: RequestContext;
  readonly request: CompletionRequest;
  readonly work: Work;
  /** Text that the caller has already. */
  readonly delivered: { readonly text: string; readonly tokens: number };
  /** Longest wait for the first piece from dispatch on, milliseconds. */
  readonly firstPieceTimeout: number;
  /** Called right before anything is sent; what it throws keeps the attempt from being sent. */
  readonly beforeDispatch: (stopper: Stopper) => Promise<void>;
  /** Called once the engine may have run the attempt. */
  readonly onMayHaveRun: () => void;
}

/** How an attempt ended; `left` means that its caller has gone and may come back for the rest. */
export type AttemptEnd = "finished" | "failed" | "cancelled" | "left";

/** An attempt whose first pieces have come; ends with a call of `close`. */
export interface OpenAttempt {
  readonly origin: AttemptOrigin;
  /** @returns The next pieces, undefined at the end; throws `UpstreamError`. */
  readonly next: () => Promise<readonly AnswerFrame[] | undefined>;
  readonly close: (end: AttemptEnd) => void;
}

/** Notes what a failure says about the engine itself, whoever asked. */
export const noteEngineFailure = (parts: AttemptDependencies, engineId: string, error: unknown): void => {
  const { directory, metrics, clock } = parts;
  if (!(error instanceof UpstreamError) || error.fault === "cancelled") return;
  metrics.count(metricNames.engineFailures, 1, { fault: error.fault });
  if (error.fault === "crossed") metrics.count(metricNames.crossedAnswers);
  if (error.fault === "leaving") directory.markLeaving(engineId);
  else if (error.fault !== "overloaded" && !isRequestInvalid(error))
    directory.markFailed(engineId, clock.monotonic());
};

/** An attempt's id names its request, too, for those who read logs. */
const createAttemptId = (requestId: string): string => `${requestId}.${randomBytes(4).toString("hex")}`;

/** @returns The id of the request that an attempt was made for. */
export const requestIdOfAttempt = (attempt: string): string => attempt.split(".")[0] ?? attempt;

const unstartedReport: Omit<AttemptReport, "ended"> = {
  incarnation: undefined,
  firstTokenAfter: undefined,
  usage: undefined,
};

/** A stop for lack of a first piece is the engine's failure, not a cancellation. */
const typeFailure = (error: unknown, stopper: Stopper): unknown =>
  stopper.reason() === "silent" && error instanceof UpstreamError && error.fault === "cancelled"
    ? upstreamError("no first piece came in time", "stalled", error.progress, error)
    : error;

const endOfFailure = (error: unknown): AttemptEnd =>
  error instanceof UpstreamError && error.fault !== "cancelled" ? "failed" : "cancelled";

const assignEngine = (scheduler: Scheduler, work: Work, stopper: Stopper): Promise<Assignment> =>
  untilStopped(scheduler.assign(work, stopper.signal), stopper, (late) =>
    late.release({ ended: "cancelled", ...unstartedReport }),
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

/** What an attempt has come to; changed by its own task only. */
interface AttemptState {
  report: Omit<AttemptReport, "ended">;
  mayHaveRun: boolean;
  frames: AsyncIterator<readonly AnswerFrame[]> | undefined;
}

/** The steps of one attempt at an engine that has been chosen. */
const createAttempt = (
  parts: AttemptDependencies,
  plan: AttemptPlan,
  assignment: Assignment,
  stopper: Stopper,
) => {
  const { metrics, clock } = parts;
  const { engine } = assignment;
  const attempt = createAttemptId(plan.context.requestId);
  const incarnationBefore = engine.load?.incarnation;
  const state: AttemptState = { report: unstartedReport, mayHaveRun: false, frames: undefined };

  const close = (end: AttemptEnd): void => {
    stopper.detach();
    if (end !== "finished") stopper.stop("superseded");
    void state.frames?.return?.();
    if (state.mayHaveRun && end !== "finished") parts.canceller.cancel(engine, attempt, end === "left");
    assignment.release({ ...state.report, ended: end === "left" ? "cancelled" : end });
  };

  /** The engine may have crashed: the failure is told once that is known. */
  const watchCrash = async (error: unknown): Promise<void> => {
    if (!(error instanceof UpstreamError) || error.fault !== "closed_early") return;
    const incarnation = state.report.incarnation ?? incarnationBefore;
    const hasBegun = state.report.firstTokenAfter !== undefined;
    await parts.crashes.noteBrokenConnection(engine, incarnation, {
      fingerprint: plan.fingerprint,
      hasBegun,
    });
  };

  const dispatch = async (): Promise<EngineAnswer> => {
    const call = createCall(attempt, plan, assignment);
    metrics.count(metricNames.attempts);
    try {
      state.mayHaveRun = true;
      return await parts.connect(engine).complete(call, stopper.signal);
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

  /** Reads on; a failure is noted here, since nothing else knows the engine. */
  const next = async (): Promise<readonly AnswerFrame[] | undefined> => {
    try {
      return await read();
    } catch (error) {
      noteEngineFailure(parts, engine.id, error);
      await watchCrash(error);
      throw error;
    }
  };

  /** Sends the request and waits for the first pieces. */
  const open = async (): Promise<readonly AnswerFrame[] | undefined> => {
    let callOff: (() => void) | undefined;
    try {
      await plan.beforeDispatch(stopper);
      const dispatchedAt = clock.monotonic();
      callOff = clock.after(plan.firstPieceTimeout, () => stopper.stop("silent"));
      const answer = await dispatch();
      state.report = { ...state.report, incarnation: answer.incarnation };
      state.frames = answer.frames[Symbol.asyncIterator]();
      if (answer.weightsVersion !== assignment.weightsVersion) {
        throw upstreamError("the engine answers with other weights", "wrong_weights", "sent");
      }
      const first = await read();
      state.report = { ...state.report, firstTokenAfter: clock.monotonic() - dispatchedAt };
      assignment.markFirstToken();
      return first;
    } catch (error) {
      const failure = typeFailure(error, stopper);
      noteEngineFailure(parts, engine.id, failure);
      close(endOfFailure(failure));
      await watchCrash(failure);
      throw failure;
    } finally {
      callOff?.();
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
 * Makes an attempt.
 *
 * @param parent - Stops the attempt.
 * @param onAssigned - Told which engine is asked.
 * @returns The attempt with its first pieces; throws `UpstreamError`, and `RequestError` where no engine takes
 * the work or `beforeDispatch` refuses. An attempt that failed has been closed.
 */
export const openAttempt = async (
  parts: AttemptDependencies,
  plan: AttemptPlan,
  parent: Stopper,
  onAssigned: (engineId: string) => void,
): Promise<OpenAttempt> => {
  const stopper = createStopper(parent);
  const assignment = await assignEngine(parts.scheduler, plan.work, stopper).catch((error: unknown) => {
    stopper.detach();
    throw error;
  });
  onAssigned(assignment.engine.id);
  const { open, next, close, origin } = createAttempt(parts, plan, assignment, stopper);
  let first = await open();
  const takeFirst = (): readonly AnswerFrame[] | undefined => {
    const taken = first;
    first = undefined;
    return taken;
  };
  return { origin: origin(), next: async () => takeFirst() ?? (await next()), close };
};
