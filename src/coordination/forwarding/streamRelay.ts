/** Relays an event stream; a resumable one continues at another replica where it is cut off. */
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

const resumable = async function* (
  loop: AttemptLoop,
  run: ForwardRun,
  first: StartedAnswer,
): AsyncGenerator<Buffer, void> {
  const buffer = createEventBuffer(run.request.lastEventId);
  let answer = first;
  for (;;) {
    try {
      yield* completeEvents(answer, buffer);
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
