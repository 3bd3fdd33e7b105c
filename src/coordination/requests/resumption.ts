/** Resumes an answer from the engine that generates it, for a caller that reconnects with a resume token. */
import { upstreamError } from "../../protocol/errors.ts";
import type { ResumePoint, ResumeTokens } from "../../protocol/resumeToken.ts";
import type { AnswerFrame, EngineAnswer } from "../../protocol/types.ts";
import type { EngineReplica } from "../../state/engineDirectory.ts";
import type { Clock } from "../clock.ts";
import type { DeliveredAnswer } from "./deliveredAnswer.ts";
import { noteEngineFailure, requestIdOfAttempt } from "./attempt.ts";
import type { AttemptEnd, OpenAttempt } from "./attempt.ts";
import { shortRequestDigest } from "./eventIds.ts";
import { resumeRefusals } from "./refusals.ts";
import type { CompletionRunDependencies } from "./runScope.ts";
import { createStopper } from "./stopper.ts";
import type { Stopper } from "./stopper.ts";
import type { CompletionJob } from "./types.ts";
import { runInBackground } from "../../state/backgroundTasks.ts";

/** Timeout for an engine to start resending an answer, milliseconds. Short, since the text is already computed. */
const resumeTimeout = 2_000;

/** A request that resumes an answer. */
export interface ResumeJob extends CompletionJob {
  readonly point: ResumePoint;
  /** The text that the caller reports to have received; `undefined` if it does not report any. */
  readonly delivered: string | undefined;
}

/**
 * Reads a resume token and checks it against the request that carries it.
 *
 * @returns The request, under the id of the original one; throws `RequestError` for an invalid token, or one of
 * another request.
 */
export const readResumeJob = (
  tokens: ResumeTokens,
  clock: Clock,
  job: CompletionJob,
  token: string,
): ResumeJob => {
  const { context, request } = job;
  if (!request.stream) throw resumeRefusals.notStreamed();
  const point = tokens.read(token, context.organisation.name, Math.floor(clock.wall() / 1_000));
  if (point === "malformed" || point === "forged") throw resumeRefusals.invalidToken();
  if (point === "expired") throw resumeRefusals.expired();
  if (point.digest !== shortRequestDigest(request)) throw resumeRefusals.otherRequest();
  const deliveredText = request.body.pomelocleat_delivered;
  return {
    ...job,
    // Non-idempotent if the original request was, whatever the headers of this one say.
    context: {
      ...context,
      requestId: requestIdOfAttempt(point.attempt),
      idempotent: context.idempotent && point.idempotent,
    },
    point,
    delivered: typeof deliveredText === "string" ? deliveredText : undefined,
  };
};

/** @returns The delivered part of the answer, as far as it is known from the resume token and the caller's text. */
export const deliveredBeforeResume = ({ point, delivered }: ResumeJob): DeliveredAnswer => ({
  text: delivered ?? "",
  tokens: point.tokens,
  textlessPieces: point.textlessPieces,
  textKnown: delivered !== undefined || point.tokens === 0,
  continuable: true,
});

/** Skips the pieces that the caller already has, and collects their text so that another engine could continue it. */
const createSkipper = ({ point, delivered }: ResumeJob, answer: DeliveredAnswer) => {
  // `tokens` counts pieces with text; `textlessPieces` counts only those after the last piece with text.
  let remainingTokens = point.tokens - point.attemptOffset;
  let remainingTextlessPieces = point.textlessPieces;
  let skipped = "";

  const skipIfDelivered = (frame: AnswerFrame): boolean => {
    if (remainingTokens === 0 && (frame.text !== "" || remainingTextlessPieces === 0)) return false;
    if (frame.extra !== undefined) answer.continuable = false;
    if (remainingTokens === 0) remainingTextlessPieces -= 1;
    if (frame.text !== "") {
      remainingTokens -= 1;
      skipped += frame.text;
    }
    return true;
  };

  /** Called once all delivered pieces have been skipped. Throws `RequestError` if the caller's text differs. */
  const finish = (): void => {
    if (delivered !== undefined && !delivered.endsWith(skipped)) throw resumeRefusals.otherText();
    if (point.attemptOffset > 0) return;
    answer.text = skipped;
    answer.textKnown = true;
  };

  return {
    skipIfDelivered,
    finish,
    isDone: () => remainingTokens === 0 && remainingTextlessPieces === 0,
  };
};

const callEngine = async (
  { connect, clock }: CompletionRunDependencies,
  engine: EngineReplica,
  { point, context }: ResumeJob,
  stopper: Stopper,
): Promise<EngineAnswer> => {
  const cancelTimer = clock.after(resumeTimeout, () => stopper.stop("silent"));
  try {
    const { stallTimeout } = context.requestClass;
    // Starts at token 0 to get the delivered text too; the engine resends it without generating it again.
    const answer = await connect(engine).resume(point.attempt, 0, stallTimeout, stopper.signal);
    if (answer.incarnation === point.incarnation) return answer;
    throw upstreamError(
      "the engine has restarted since it started the attempt",
      "unknown_attempt",
      "streaming",
    );
  } finally {
    cancelTimer();
  }
};

const findEngine = ({ directory }: CompletionRunDependencies, { point }: ResumeJob): EngineReplica => {
  const engine = directory.get(point.engineId);
  if (engine !== undefined) return engine;
  throw upstreamError("the engine is no longer in the VM list", "unreachable", "not_sent");
};

/**
 * Resumes the attempt that a token names.
 *
 * @param answer - Updated with the text that the caller has received.
 * @param parent - Stops the attempt when it is stopped itself.
 * @returns The attempt, positioned after the part that the caller has. Throws `UpstreamError` if the engine can't
 * resume it, and `RequestError` if the token's position or the caller's text does not fit the answer.
 */
export const openResumed = async (
  dependencies: CompletionRunDependencies,
  job: ResumeJob,
  answer: DeliveredAnswer,
  parent: Stopper,
): Promise<OpenAttempt> => {
  const { point } = job;
  const engine = findEngine(dependencies, job);
  const stopper = createStopper(parent);
  const skipper = createSkipper(job, answer);
  let frames: AsyncIterator<readonly AnswerFrame[]> | undefined;
  let first: readonly AnswerFrame[] = [];

  const close = (end: AttemptEnd): void => {
    stopper.detach();
    if (end !== "finished") stopper.stop("superseded");
    runInBackground("closeAnswer", () => frames?.return?.(), engine.id);
    dependencies.directory.addInFlight(engine.id, -1);
    releaseRetention();
    if (end !== "finished") dependencies.canceller.cancel(engine, point.attempt, end === "left");
  };

  const read = async (): Promise<readonly AnswerFrame[] | undefined> => {
    const next = await frames?.next();
    return next === undefined || next.done === true ? undefined : next.value;
  };

  const skip = async (): Promise<void> => {
    while (!skipper.isDone() && first.length === 0) {
      const received = await read();
      if (received === undefined) throw resumeRefusals.invalidPosition();
      const index = received.findIndex((frame) => !skipper.skipIfDelivered(frame));
      first = index < 0 ? [] : received.slice(index);
    }
    if (!skipper.isDone()) throw resumeRefusals.invalidPosition();
    skipper.finish();
  };

  dependencies.directory.addInFlight(engine.id, 1);
  const releaseRetention = dependencies.canceller.retain(point.attempt);
  try {
    const opened = await callEngine(dependencies, engine, job, stopper);
    frames = opened.frames[Symbol.asyncIterator]();
    await skip();
  } catch (error) {
    close("failed");
    throw error;
  }

  const next = async (): Promise<readonly AnswerFrame[] | undefined> => {
    if (first.length > 0) {
      const pieces = first;
      first = [];
      return pieces;
    }
    try {
      return await read();
    } catch (error) {
      noteEngineFailure(dependencies, engine.id, error);
      throw error;
    }
  };

  const { attempt, engineId, incarnation, attemptOffset } = point;
  return { origin: { attempt, engineId, incarnation, attemptOffset }, next, close };
};
