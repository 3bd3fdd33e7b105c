/**
 * Checks where a stream ends. Without a length or chunks, a replica that stops in the middle looks like one that has
 * finished, unless it stops inside an event.
 */
import { upstreamError } from "../../protocol/errors.ts";
import type { AnswerHead, ReplicaAnswer } from "../../protocol/forwarding/types.ts";
import { createLogger } from "../../state/log.ts";
import { metricNames } from "../../state/constants.ts";
import type { Metrics } from "../../state/Metrics.ts";
import { maxEventBytes } from "./constants.ts";
import { createEventScanner } from "./eventScanner.ts";
import type { AttemptPlan } from "./forwardAttempt.ts";

const writeLog = createLogger("requests");

const eventStreamType = "text/event-stream";

/** Whether the body consists of events: on a streaming route it does unless the replica names another type. */
const isEventStream = ({ headers }: AnswerHead): boolean => {
  const name = headers.findIndex((each, index) => index % 2 === 0 && each.toLowerCase() === "content-type");
  return name === -1 || headers[name + 1]?.toLowerCase().startsWith(eventStreamType) === true;
};

/**
 * Passes on the chunks of an answer on a streaming route.
 *
 * @returns The same chunks.
 * @throws `UpstreamError` if only the end of the connection marks the end of the stream, and it comes inside an event or
 * before the first one, or if an event does not end. A stream that its caller resumes may have no event left; one that
 * this router resumes, after another replica broke it off, is not taken for whole without any.
 */
export const checkStreamEnd = async function* (
  answer: ReplicaAnswer,
  { request, choice, lastEventId }: Pick<AttemptPlan, "request" | "choice" | "lastEventId">,
  metrics: Metrics,
): AsyncGenerator<Buffer, void> {
  if (!isEventStream(answer.head)) {
    yield* answer.body;
    return;
  }
  const scanner = createEventScanner();
  let events = 0;
  let sinceEvent = 0;
  for await (const chunk of answer.body) {
    scanner.scan(chunk);
    sinceEvent = scanner.eventCount() > events ? 0 : sinceEvent + chunk.length;
    events = scanner.eventCount();
    if (sinceEvent > maxEventBytes)
      throw upstreamError("an event of the stream does not end", "endless", "streaming");
    yield chunk;
  }
  const unfinishedBytes = scanner.unfinishedBytes();
  const { framing } = answer;
  const mayBeEmpty = lastEventId !== undefined && lastEventId === request.lastEventId;
  const lacksEvents = framing === "connection" && scanner.eventCount() === 0 && !mayBeEmpty;
  if (unfinishedBytes === 0 && !lacksEvents) return;
  metrics.count(metricNames.unfinishedStreams, 1, { framing });
  writeLog("unfinished_event", {
    request: request.id,
    replica: choice.replica.entry.id,
    framing,
    events: scanner.eventCount(),
    unfinishedBytes,
  });
  // A length or a last chunk is the replica's own word that the stream is whole.
  if (framing === "connection")
    throw upstreamError("the connection ended before the stream was whole", "closed_early", "streaming");
};
