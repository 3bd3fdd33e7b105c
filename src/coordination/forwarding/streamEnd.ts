/** Checks where a stream ends: its last event may be incomplete although its connection has ended without an error. */
import type { ReplicaAnswer } from "../../protocol/forwarding/types.ts";
import { createLogger } from "../../state/log.ts";
import { metricNames } from "../../state/constants.ts";
import type { Metrics } from "../../state/Metrics.ts";
import { createEventScanner } from "./eventScanner.ts";
import type { AttemptPlan } from "./forwardAttempt.ts";

const writeLog = createLogger("requests");

/**
 * Passes on the chunks of an event stream, and notes if it ends inside an event.
 *
 * @returns The same chunks.
 */
export const checkStreamEnd = async function* (
  answer: ReplicaAnswer,
  { request, choice }: Pick<AttemptPlan, "request" | "choice">,
  metrics: Metrics,
): AsyncGenerator<Buffer, void> {
  const scanner = createEventScanner();
  for await (const chunk of answer.body) {
    scanner.scan(chunk);
    yield chunk;
  }
  const unfinishedBytes = scanner.unfinishedBytes();
  if (unfinishedBytes === 0) return;
  const { framing } = answer;
  metrics.count(metricNames.unfinishedStreams, 1, { framing });
  writeLog("unfinished_event", {
    request: request.id,
    replica: choice.replica.entry.id,
    framing,
    events: scanner.eventCount(),
    unfinishedBytes,
  });
};
