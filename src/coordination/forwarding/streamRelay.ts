/** Relays an event stream; a resumable one continues at another replica where it is cut off. */
import { UpstreamError, upstreamError } from "../../protocol/errors.ts";
import { createLogger } from "../../state/log.ts";
import type { AttemptLoop } from "./attemptLoop.ts";
import type { EventBuffer } from "./eventBuffer.ts";
import { createEventBuffer } from "./eventBuffer.ts";
import { failures } from "./failures.ts";
import type { StartedAnswer } from "./forwardAttempt.ts";
import { isSuccess } from "./forwardAttempt.ts";
import type { ForwardRun } from "./forwardRun.ts";

const writeLog = createLogger("requests");

const chunks = async function* (answer: StartedAnswer): AsyncGenerator<Buffer, void> {
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

/** Yields complete events only: the fragment of a cut-off event would corrupt the event that follows after resuming. */
const completeEvents = async function* (
  answer: StartedAnswer,
  buffer: EventBuffer,
): AsyncGenerator<Buffer, void> {
  for await (const chunk of chunks(answer)) yield buffer.push(chunk);
  const remainder = buffer.remainder();
  if (remainder.length > 0) yield remainder;
};

/**
 * Yields the complete events of a stream that goes on where another one broke off.
 *
 * @param hasBegunEvent - Whether the other one broke off inside an event, so that there is an event left.
 * @throws `UpstreamError` if it goes back to an event that the caller has, or lacks the one that was begun.
 */
const followingEvents = async function* (
  answer: StartedAnswer,
  buffer: EventBuffer,
  hasBegunEvent: boolean,
): AsyncGenerator<Buffer, void> {
  for await (const events of completeEvents(answer, buffer)) {
    if (!buffer.isInOrder()) throw upstreamError("the resumed stream goes back", "malformed", "streaming");
    yield events;
  }
  if (hasBegunEvent && buffer.eventCount() === 0 && buffer.remainder().length === 0)
    throw upstreamError("the resumed stream lacks an event that was begun", "malformed", "streaming");
};

const resumable = async function* (
  loop: AttemptLoop,
  run: ForwardRun,
  first: StartedAnswer,
): AsyncGenerator<Buffer, void> {
  const buffer = createEventBuffer(run.request.lastEventId);
  let events = completeEvents(first, buffer);
  let hasBegunEvent = false;
  for (;;) {
    try {
      yield* events;
      return;
    } catch (error) {
      if (!(error instanceof UpstreamError)) throw error;
      // After any other event, a resumed stream would repeat or skip some.
      if (!buffer.hasKnownPosition() || !(await loop.mayRetry(run, error))) throw error;
      hasBegunEvent = buffer.hasBegunEvent() || (hasBegunEvent && buffer.eventCount() === 0);
      buffer.beginStream();
      writeLog("resuming", { request: run.request.id, after: buffer.lastId() ?? null });
      const answer = await loop.begin(run, buffer.lastId());
      if (!isSuccess(answer.head)) throw failures.outcomeUnknown(error);
      events = followingEvents(answer, buffer, hasBegunEvent);
    }
  }
};

/**
 * Relays the body of a response.
 *
 * @returns The chunks of the body; throws `UpstreamError` or `RequestError` where it can't be completed.
 */
export const relayStream = (
  loop: AttemptLoop,
  run: ForwardRun,
  answer: StartedAnswer,
): AsyncGenerator<Buffer, void> =>
  run.admission.route.kind === "resumableEventStream" ? resumable(loop, run, answer) : chunks(answer);
