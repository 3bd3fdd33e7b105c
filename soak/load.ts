/** Callers that ask, retry at other routers and write down what they were told. */
import { setTimeout as sleep } from "node:timers/promises";
import { outcomes } from "../src/protocol/constants.ts";
import type { Caller, CallerRequest, CallerResult } from "../tests/processes/caller.ts";
import { newKey, signOff, streamedQuestion } from "../tests/processes/caller.ts";
import type { SoakRecord } from "./types.ts";

const questions = 6;
const answerTokens = 60;
const maximumTries = 10;
const retryPause = 100;
const thinkingTime = 20;

/** The questions of the run; each has one right answer. */
export const soakQuestions: readonly CallerRequest[] = Array.from({ length: questions }, (_, index) =>
  streamedQuestion(`Is attendant ${index} current?`, answerTokens),
);

/** Whether a caller may send a request again as it is: what may have run is only repeated with its key. */
const mayRepeat = ({ outcome }: CallerResult): boolean => outcome !== "answered";

/** Callers at work. */
export interface Load {
  readonly records: readonly SoakRecord[];
  /** Resolves when every request has ended. */
  readonly stop: () => Promise<void>;
}

/**
 * Starts callers.
 *
 * @param pickRouter - A router to send the next try to.
 * @param undisturbed - The right text of each question.
 */
export const startLoad = (caller: Caller, pickRouter: () => string, undisturbed: readonly string[]): Load => {
  const records: SoakRecord[] = [];
  let isRunning = true;
  let turn = 0;

  const ask = async (asked: CallerRequest, expected: string): Promise<void> => {
    const tries: CallerResult[] = [];
    while (tries.length < maximumTries) {
      const result = await caller.send(pickRouter(), asked);
      tries.push(result);
      if (!mayRepeat(result)) break;
      if (result.outcome !== outcomes.notRun && tries.length > maximumTries / 2) break;
      await sleep(retryPause);
    }
    records.push({ request: asked, expected, tries });
    await sleep(thinkingTime);
  };

  const askQuestions = async (): Promise<void> => {
    while (isRunning) {
      turn += 1;
      const index = turn % questions;
      const question = soakQuestions[index];
      if (question !== undefined) await ask(question, undisturbed[index] ?? "");
    }
  };

  const askOnce = async (): Promise<void> => {
    while (isRunning) {
      turn += 1;
      const index = turn % questions;
      const question = soakQuestions[index];
      if (question === undefined) continue;
      await ask({ ...question, requestClass: "sign-off", key: newKey() }, undisturbed[index] ?? "");
    }
  };

  const signOffs = async (): Promise<void> => {
    while (isRunning) {
      turn += 1;
      await ask(signOff(newKey(), turn), `{\\"attendant\\":${turn}}`);
    }
  };

  const running = Promise.all([
    ...Array.from({ length: 6 }, askQuestions),
    ...Array.from({ length: 3 }, askOnce),
    ...Array.from({ length: 6 }, signOffs),
  ]);
  return {
    records,
    stop: async () => {
      isRunning = false;
      await running;
    },
  };
};
