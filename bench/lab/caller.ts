/** A caller of the lab: tries, comes back when told, resumes nothing, and leaves at its deadline or before. */
import type { Clock } from "../../src/coordination/clock.ts";
import { pause } from "../../src/coordination/clock.ts";
import type { Forwarder } from "../../src/coordination/forwarding/forwarder.ts";
import { RequestError } from "../../src/protocol/errors.ts";
import type { CallerRequest } from "../../src/protocol/forwarding/types.ts";
import type { LabFleet } from "./fleet.ts";
import type { LabArrival } from "./workload.ts";

/** What became of a request. */
export interface LabRecord {
  readonly arrival: LabArrival;
  outcome: "served" | "refused" | "failed" | "left";
  /** From the first try to the first token, milliseconds. */
  firstTokenAfter: number | undefined;
  tries: number;
}

/** What a caller works with. */
export interface CallerDependencies {
  readonly clock: Clock;
  readonly fleet: LabFleet;
  /** @returns The router that a try reaches. */
  readonly pickRouter: () => Forwarder;
}

/** Callers wait at most this share of what they have left before they come back. */
const waitingShare = 1 / 3;

const millisecondsPerSecond = 1_000;

const requestOf = (
  { kind, prompt }: LabArrival,
  id: string,
  arrivedAt: number,
  left: number,
): CallerRequest => ({
  id,
  method: "POST",
  host: "lab.example",
  target: `/${kind.name}/`,
  headers: [],
  body: Buffer.alloc(0),
  arrivedAt,
  timeout: left,
  key: undefined,
  prompt,
  countedTokens: undefined,
  lastEventId: undefined,
});

/** Runs one caller to its end. */
export const runCaller = async (parts: CallerDependencies, record: LabRecord): Promise<void> => {
  const { clock, fleet, pickRouter } = parts;
  const { arrival } = record;
  const deadline = arrival.at + arrival.kind.deadline;
  const leaving = new AbortController();
  const callOff = clock.after(arrival.leavesAfter ?? arrival.kind.deadline, () => leaving.abort());

  const tryOnce = async (): Promise<void> => {
    record.tries += 1;
    const id = `${arrival.id}.${record.tries}`;
    fleet.setAnswerTokens(id, arrival.answerTokens);
    const now = clock.monotonic();
    const { body } = await pickRouter().forward(requestOf(arrival, id, now, deadline - now), leaving.signal);
    if (Buffer.isBuffer(body)) throw new TypeError("streams are answered by streams");
    for await (const piece of body) {
      if (piece.length > 0) record.firstTokenAfter ??= clock.monotonic() - arrival.at;
    }
    record.outcome = "served";
  };

  /** @returns Whether the caller may try again, after having waited as told. */
  const mayComeBack = async (error: RequestError): Promise<boolean> => {
    record.outcome = error.failure.status === 503 ? "refused" : "failed";
    const { retryAfterSeconds } = error.failure;
    if (record.outcome !== "refused" || record.tries >= arrival.kind.callerTries) return false;
    const left = deadline - clock.monotonic();
    const told = (retryAfterSeconds ?? 0) * millisecondsPerSecond;
    await pause(clock, Math.min(told, left * waitingShare), leaving.signal);
    return !leaving.signal.aborted;
  };

  try {
    for (;;) {
      try {
        await tryOnce();
        return;
      } catch (error) {
        if (leaving.signal.aborted) record.outcome = arrival.leavesAfter === undefined ? "failed" : "left";
        else if (error instanceof RequestError && (await mayComeBack(error))) continue;
        return;
      }
    }
  } finally {
    callOff();
  }
};
