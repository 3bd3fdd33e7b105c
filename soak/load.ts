/** Callers that send requests, retry at other routers and record the answers. */
import { setTimeout as sleep } from "node:timers/promises";
import { outcomes } from "../src/protocol/constants.ts";
import type { Caller, CallerRequest, CallerResult } from "../tests/processes/caller.ts";
import { newKey, signOff, streamedQuestion } from "../tests/processes/caller.ts";
import type { SoakRecord } from "./types.ts";

const questionCount = 6;
const answerTokens = 60;
const maximumTries = 10;
/** Milliseconds. */
const retryDelay = 100;
/** Milliseconds. */
const delayBetweenRequests = 20;

/** The streamed questions of a run; each has exactly one right answer. */
export const soakQuestions: readonly CallerRequest[] = Array.from({ length: questionCount }, (_, index) =>
  streamedQuestion(`Is attendant ${index} current?`, answerTokens),
);

/** Whether a caller may retry a request: any that was not answered. Non-idempotent requests carry an idempotency key. */
const mayRetry = ({ outcome }: CallerResult): boolean => outcome !== "answered";

/** Running callers and their records. */
export interface Load {
  readonly records: readonly SoakRecord[];
  /** Stops the callers; resolves when every request has ended. */
  readonly stop: () => Promise<void>;
}

/**
 * Starts callers.
 *
 * @param pickRouter - Returns the URL of the router for the next try.
 * @param expectedTexts - The right answer to each of {@link soakQuestions}, as given without faults.
 */
export const startLoad = (
  caller: Caller,
  pickRouter: () => string,
  expectedTexts: readonly string[],
): Load => {
  const records: SoakRecord[] = [];
  let isRunning = true;
  let requestCount = 0;

  const ask = async (asked: CallerRequest, expected: string): Promise<void> => {
    const tries: CallerResult[] = [];
    while (tries.length < maximumTries) {
      const result = await caller.send(pickRouter(), asked);
      tries.push(result);
      if (!mayRetry(result)) break;
      if (result.outcome !== outcomes.notRun && tries.length > maximumTries / 2) break;
      await sleep(retryDelay);
    }
    records.push({ request: asked, expected, tries });
    await sleep(delayBetweenRequests);
  };

  const askQuestions = async (): Promise<void> => {
    while (isRunning) {
      requestCount += 1;
      const index = requestCount % questionCount;
      const question = soakQuestions[index];
      if (question !== undefined) await ask(question, expectedTexts[index] ?? "");
    }
  };

  const askWithKeys = async (): Promise<void> => {
    while (isRunning) {
      requestCount += 1;
      const index = requestCount % questionCount;
      const question = soakQuestions[index];
      if (question === undefined) continue;
      await ask({ ...question, requestClass: "sign-off", key: newKey() }, expectedTexts[index] ?? "");
    }
  };

  const sendSignOffs = async (): Promise<void> => {
    while (isRunning) {
      requestCount += 1;
      await ask(signOff(newKey(), requestCount), `{\\"attendant\\":${requestCount}}`);
    }
  };

  const running = Promise.all([
    ...Array.from({ length: 6 }, askQuestions),
    ...Array.from({ length: 3 }, askWithKeys),
    ...Array.from({ length: 6 }, sendSignOffs),
  ]);
  return {
    records,
    stop: async () => {
      isRunning = false;
      await running;
    },
  };
};
