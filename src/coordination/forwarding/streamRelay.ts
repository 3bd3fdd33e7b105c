/** Passes a stream of events on; one that may be resumed goes on at another replica where it breaks. */
import { UpstreamError } from "../../protocol/errors.ts";
import { createLogger } from "../../state/log.ts";
import type { AttemptLoop } from "./attemptLoop.ts";
import type { EventBuffer } from "./eventBuffer.ts";
import { createEventBuffer } from "./eventBuffer.ts";
import { failures } from "./failures.ts";
import type { StartedAnswer } from "./forwardAttempt.ts";
import { isSuccess } from "./forwardAttempt.ts";
import type { ForwardRun } from "./forwardRun.ts";

const writeLog = createLogger("requests");

const pieces = async function* (answer: StartedAnswer): AsyncGenerator<Buffer, void> {
  yield* answer.firstChunks;
  if (answer.rest === undefined) return;
  try {
    for (;;) {
      const next = await answer.rest.next();
      if (next.done === true) return;
      yield next.value;
    }
  } finally {
    await answer.rest.return?.();
  }
};

/** Whole events only: the part of one that was cut off would stand in the way of the one that follows. */
const wholeEvents = async function* (
  answer: StartedAnswer,
  buffer: EventBuffer,
): AsyncGenerator<Buffer, void> {
  for await (const piece of pieces(answer)) yield buffer.push(piece);
  const remainder = buffer.remainder();
  if (remainder.length > 0) yield remainder;
};

const resumable = async function* (
  loop: AttemptLoop,
  run: ForwardRun,
  first: StartedAnswer,
): AsyncGenerator<Buffer, void> {
  const buffer = createEventBuffer(run.request.lastEventId);
  let answer = first;
  for (;;) {
    try {
      yield* wholeEvents(answer, buffer);
      return;
    } catch (error) {
      if (!(error instanceof UpstreamError) || !loop.mayRetry(run, error)) throw error;
      buffer.dropRemainder();
      writeLog("resuming", { request: run.request.id, after: buffer.lastId() ?? null });
      answer = await loop.begin(run, buffer.lastId());
      if (!isSuccess(answer.head)) throw failures.outcomeUnknown(error);
    }
  }
};

/**
 * Relays an answer's body.
 *
 * @returns Its pieces; throws `UpstreamError` or `RequestError` where it can't be finished.
 */
export const relayStream = (
  loop: AttemptLoop,
  run: ForwardRun,
  answer: StartedAnswer,
): AsyncGenerator<Buffer, void> =>
  run.admission.route.kind === "resumableEventStream" ? resumable(loop, run, answer) : pieces(answer);
