/** A simulated caller: it retries refused requests as asked, never resumes streams, and cancels by its deadline. */
import type { Clock } from "../../src/coordination/clock.ts";
import { pause } from "../../src/coordination/clock.ts";
import { RequestError } from "../../src/protocol/errors.ts";
import type { CallerRequest } from "../../src/protocol/forwarding/types.ts";
import type { LabFleet } from "./fleet.ts";
import type { LabRouter } from "./labRouter.ts";
import { keyOf } from "./labRouter.ts";
import type { LabArrival } from "./workload.ts";

/** Result of a request. */
export interface LabRecord {
  readonly arrival: LabArrival;
  /** `left`: cancelled by its caller before the deadline. */
  outcome: "served" | "refused" | "failed" | "left";
  /** From the first attempt to the first token, milliseconds. */
  firstTokenAfter: number | undefined;
  tries: number;
  /** The longest pause between two events of its stream, milliseconds. */
  longestPause: number;
  readonly refusals: LabRefusedTry[];
}

/** A refused attempt. */
export interface LabRefusedTry {
  /** From the attempt to its refusal, milliseconds. */
  readonly after: number;
  /** Whether the refusal states when to retry. */
  readonly statesRetry: boolean;
}

export interface CallerDependencies {
  readonly clock: Clock;
  readonly fleet: LabFleet;
  /** @returns The router that the next attempt is sent to. */
  readonly pickRouter: (dataCentre: number | undefined) => Pick<LabRouter, "forwarder" | "connections">;
}

/** Callers wait at most this share of their remaining time before they retry. */
const maximumWaitShare = 1 / 3;

const millisecondsPerSecond = 1_000;

const requestOf = (
  { kind, prompt, organisation, expectedAnswerTokens }: LabArrival,
  id: string,
  arrivedAt: number,
  remaining: number,
): CallerRequest & { readonly expectedAnswerTokens: number } => ({
  id,
  method: "POST",
  host: "lab.example",
  target: `/${kind.name}/`,
  headers: [],
  body: Buffer.alloc(0),
  arrivedAt,
  timeout: remaining,
  key: organisation === undefined ? undefined : keyOf(organisation),
  prompt,
  countedTokens: undefined,
  lastEventId: undefined,
  expectedAnswerTokens,
});

/** Runs a caller until its request is served, fails or is cancelled, and fills in its record. */
export const runCaller = async (dependencies: CallerDependencies, record: LabRecord): Promise<void> => {
  const { clock, fleet, pickRouter } = dependencies;
  const { arrival } = record;
  const deadline = arrival.at + arrival.kind.deadline;
  const abandonment = new AbortController();
  const abandon = (): void => abandonment.abort();
  const cancelTimer = clock.after(arrival.leavesAfter ?? arrival.kind.deadline, abandon);
  let sentAt = arrival.at;

  const sendOnce = async (): Promise<void> => {
    record.tries += 1;
    const id = `${arrival.id}.${record.tries}`;
    fleet.setAnswerTokens(id, arrival.answerTokens);
    sentAt = clock.monotonic();
    const { forwarder, connections } = pickRouter(arrival.dataCentre);
    connections.add(abandon);
    try {
      const request = requestOf(arrival, id, sentAt, deadline - sentAt);
      const { body } = await forwarder.forward(request, abandonment.signal);
      if (Buffer.isBuffer(body)) throw new TypeError("expected an event stream as the body of the answer");
      let lastEventAt: number | undefined;
      for await (const chunk of body) {
        if (chunk.length === 0) continue;
        const now = clock.monotonic();
        record.firstTokenAfter ??= now - arrival.at;
        record.longestPause = Math.max(record.longestPause, now - (lastEventAt ?? now));
        lastEventAt = now;
      }
      record.outcome = "served";
    } finally {
      connections.delete(abandon);
    }
  };

  /** Waits as the refusal asks. @returns Whether the caller then tries again. */
  const waitForRetry = async (error: RequestError): Promise<boolean> => {
    record.outcome = error.failure.status === 503 ? "refused" : "failed";
    const { retryAfterSeconds } = error.failure;
    if (record.outcome === "refused") {
      const statesRetry = retryAfterSeconds !== undefined;
      record.refusals.push({ after: clock.monotonic() - sentAt, statesRetry });
    }
    if (record.outcome !== "refused" || record.tries >= arrival.kind.callerTries) return false;
    const remaining = deadline - clock.monotonic();
    const requestedWait = (retryAfterSeconds ?? 0) * millisecondsPerSecond;
    await pause(clock, Math.min(requestedWait, remaining * maximumWaitShare), abandonment.signal);
    return !abandonment.signal.aborted;
  };

  try {
    for (;;) {
      try {
        await sendOnce();
        return;
      } catch (error) {
        if (abandonment.signal.aborted)
          record.outcome = arrival.leavesAfter === undefined ? "failed" : "left";
        else if (error instanceof RequestError && (await waitForRetry(error))) continue;
        return;
      }
    }
  } finally {
    cancelTimer();
  }
};
