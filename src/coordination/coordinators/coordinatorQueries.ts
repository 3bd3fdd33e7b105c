/** Asks keepers one at a time, and tells their answers from those that come too late. */
import type { DatagramLink } from "../../protocol/forwarding/DatagramLink.ts";
import type { KeeperQuestion, LimitAnswer, LimitQuestion } from "../../protocol/forwarding/limitMessage.ts";
import { encodeLimitMessage } from "../../protocol/forwarding/limitMessage.ts";
import { createAdaptiveTimeout } from "../adaptiveTimeout.ts";
import type { Clock } from "../clock.ts";
import type { LiveRouter } from "../replicaOwners/owners.ts";
import { answerPatience, answerTimeGain, assumedAnswerTime } from "./constants.ts";

/** What asking works with. */
export interface KeeperQuestionsParts {
  readonly link: DatagramLink;
  readonly clock: Clock;
  /** A number from 0 to 1. */
  readonly random: () => number;
}

/** See {@link createKeeperQuestions}. */
export interface KeeperQuestions {
  /** @returns The answer of the router that is asked, whatever the question's number; nothing if it doesn't come in time. */
  readonly ask: (to: LiveRouter, question: KeeperQuestion) => Promise<LimitAnswer | undefined>;
  /** Asks for a sign of life: any answer is one. */
  readonly probe: (to: LiveRouter) => void;
  /** An answer has come. */
  readonly hear: (answer: LimitAnswer) => void;
}

interface Pending {
  readonly askedAt: number;
  readonly settle: (answer: LimitAnswer | undefined) => void;
}

/** Numbers begin at random below this: an answer to the process that had this address before grants nothing. */
const firstNumbers = 2 ** 32;

const signOfLife: LimitQuestion = {
  kind: "question",
  number: 0,
  organisation: "",
  amount: 0,
  spent: 0,
  returned: 0,
};

/** Creates a way to ask. */
export const createKeeperQuestions = ({ link, clock, random }: KeeperQuestionsParts): KeeperQuestions => {
  const pending = new Map<number, Pending>();
  let number = Math.floor(random() * firstNumbers);
  const times = createAdaptiveTimeout({
    initialLatency: assumedAnswerTime,
    smoothingFactor: answerTimeGain,
    timeoutRange: answerPatience,
  });

  return {
    ask: ({ at }, question) =>
      new Promise((resolve) => {
        number += 1;
        const own = number;
        const callOff = clock.after(times.timeout(), () => {
          pending.delete(own);
          resolve(undefined);
        });
        const settle = (answer: LimitAnswer | undefined): void => {
          callOff();
          resolve(answer);
        };
        pending.set(own, { askedAt: clock.monotonic(), settle });
        link.send(at, encodeLimitMessage({ ...question, number: own }));
      }),
    probe: ({ at }) => link.send(at, encodeLimitMessage(signOfLife)),
    hear: (answer) => {
      const asked = pending.get(answer.number);
      if (asked === undefined) return;
      pending.delete(answer.number);
      times.observe(clock.monotonic() - asked.askedAt);
      asked.settle(answer);
    },
  };
};
