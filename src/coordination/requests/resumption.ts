/** Picks an answer up again from the engine that generates it, for a caller that brings a resume token. */
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

/** Longest wait for an engine to hand an answer over, milliseconds; it has been computed before. */
const resumeTimeout = 2_000;

/** A request that goes on with an answer. */
export interface ResumeJob extends CompletionJob {
  readonly point: ResumePoint;
  /** What the caller says it has, where it says so. */
  readonly delivered: string | undefined;
}

/**
 * Checks a token against the request that it comes with.
 *
 * @returns The request under its old id; throws `RequestError` for a token that does not belong to it.
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
  const given = request.body.pomelocleat_delivered;
  return {
    ...job,
    // The mark of the first request holds, whatever the caller says now.
    context: {
      ...context,
      requestId: requestIdOfAttempt(point.attempt),
      idempotent: context.idempotent && point.idempotent,
    },
    point,
    delivered: typeof given === "string" ? given : undefined,
  };
};

/** What is known of the answer before the engine has been asked. */
export const deliveredBeforeResume = ({ point, delivered }: ResumeJob): DeliveredAnswer => ({
  text: delivered ?? "",
  tokens: point.tokens,
  textlessPieces: point.textlessPieces,
  textKnown: delivered !== undefined || point.tokens === 0,
  continuable: true,
});

/** Passes over what the caller has, and learns its text, so that another engine could continue it. */
const createSkipper = ({ point, delivered }: ResumeJob, answer: DeliveredAnswer) => {
  let tokensLeft = point.tokens - point.attemptOffset;
  let othersLeft = point.textlessPieces;
  let skipped = "";

  const skips = (frame: AnswerFrame): boolean => {
    if (tokensLeft === 0 && (frame.text !== "" || othersLeft === 0)) return false;
    if (frame.extra !== undefined) answer.continuable = false;
    if (tokensLeft === 0) othersLeft -= 1;
    if (frame.text !== "") {
      tokensLeft -= 1;
      skipped += frame.text;
    }
    return true;
  };

  /** Called once all has been passed over. */
  const settle = (): void => {
    if (delivered !== undefined && !delivered.endsWith(skipped)) throw resumeRefusals.otherText();
    if (point.attemptOffset > 0) return;
    answer.text = skipped;
    answer.textKnown = true;
  };

  return { skips, settle, isDone: () => tokensLeft === 0 && othersLeft === 0 };
};

const callEngine = async (
  { connect, clock }: CompletionRunDependencies,
  engine: EngineReplica,
  { point, context }: ResumeJob,
  stopper: Stopper,
): Promise<EngineAnswer> => {
  const callOff = clock.after(resumeTimeout, () => stopper.stop("silent"));
  try {
    const { stallTimeout } = context.requestClass;
    // From its start on, for the text: it is only sent again, not computed again.
    const answer = await connect(engine).resume(point.attempt, 0, stallTimeout, stopper.signal);
    if (answer.incarnation === point.incarnation) return answer;
    throw upstreamError("the engine has been restarted", "unknown_attempt", "streaming");
  } finally {
    callOff();
  }
};

const findEngine = ({ directory }: CompletionRunDependencies, { point }: ResumeJob): EngineReplica => {
  const engine = directory.get(point.engineId);
  if (engine !== undefined) return engine;
  throw upstreamError("the engine is not listed any more", "unreachable", "not_sent");
};

/**
 * Opens the attempt that a token names.
 *
 * @param answer - Learns the text that the caller has.
 * @returns The attempt after what the caller has; throws `UpstreamError` where it can't be had any more.
 */
export const openResumed = async (
  parts: CompletionRunDependencies,
  job: ResumeJob,
  answer: DeliveredAnswer,
  parent: Stopper,
): Promise<OpenAttempt> => {
  const { point } = job;
  const engine = findEngine(parts, job);
  const stopper = createStopper(parent);
  const skipper = createSkipper(job, answer);
  let frames: AsyncIterator<readonly AnswerFrame[]> | undefined;
  let first: readonly AnswerFrame[] = [];

  const close = (end: AttemptEnd): void => {
    stopper.detach();
    if (end !== "finished") stopper.stop("superseded");
    void frames?.return?.();
    parts.directory.addInFlight(engine.id, -1);
    endReading();
    if (end !== "finished") parts.canceller.cancel(engine, point.attempt, end === "left");
  };

  const read = async (): Promise<readonly AnswerFrame[] | undefined> => {
    const next = await frames?.next();
    return next === undefined || next.done === true ? undefined : next.value;
  };

  const skip = async (): Promise<void> => {
    while (!skipper.isDone() && first.length === 0) {
      const received = await read();
      if (received === undefined) throw resumeRefusals.invalidPosition();
      const index = received.findIndex((frame) => !skipper.skips(frame));
      first = index < 0 ? [] : received.slice(index);
    }
    if (!skipper.isDone()) throw resumeRefusals.invalidPosition();
    skipper.settle();
  };

  parts.directory.addInFlight(engine.id, 1);
  const endReading = parts.canceller.retain(point.attempt);
  try {
    const opened = await callEngine(parts, engine, job, stopper);
    frames = opened.frames[Symbol.asyncIterator]();
    await skip();
  } catch (error) {
    close("failed");
    throw error;
  }

  const next = async (): Promise<readonly AnswerFrame[] | undefined> => {
    if (first.length > 0) {
      const taken = first;
      first = [];
      return taken;
    }
    try {
      return await read();
    } catch (error) {
      noteEngineFailure(parts, engine.id, error);
      throw error;
    }
  };

  const { attempt, engineId, incarnation, attemptOffset } = point;
  return { origin: { attempt, engineId, incarnation, attemptOffset }, next, close };
};
