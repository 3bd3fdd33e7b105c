/**
 * Asks the owners of a few replicas what they know, right before a request is placed.
 *
 * The load pattern that it answers: where two hundred routers each have two or three requests a second, what they
 * could tell one another is seconds old, and each sends its work where others have just sent theirs. In a simulated
 * calm load with 195 routers 44 % of first tokens came in time without it.
 */
import type { DatagramLink } from "../../protocol/forwarding/DatagramLink.ts";
import type { AnswerMessage } from "../../protocol/forwarding/ownerMessage.ts";
import { encodeOwnerMessage } from "../../protocol/forwarding/ownerMessage.ts";
import { replicaKeyOf } from "../../protocol/forwarding/peerMessage.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import { createAdaptiveTimeout } from "../adaptiveTimeout.ts";
import type { Clock } from "../clock.ts";
import { answerPatience, answerTimeGain, assumedAnswerTime } from "./constants.ts";
import type { LiveRouter, Owners } from "./owners.ts";

/** What asking works with. */
export interface ConsultationParts {
  readonly name: string;
  readonly link: DatagramLink;
  readonly owners: Owners;
  readonly clock: Clock;
  /** Takes what an owner knows. @returns The replicas that it has told of. */
  readonly take: (answer: AnswerMessage) => readonly ReplicaState[];
  /** Lets go of what owners answered of replicas before: it is of another time, or this router is the owner now. */
  readonly lapse: (replicas: readonly ReplicaState[]) => void;
}

/** See {@link createConsultation}. */
export interface Consultation {
  /**
   * @param keys - Of the prompt's parts.
   * @returns Those of the replicas whose state is known now, because their owners answered or are this router.
   */
  readonly ask: (
    replicas: readonly ReplicaState[],
    keys: readonly number[],
  ) => Promise<readonly ReplicaState[]>;
  /** An answer has come. */
  readonly hear: (answer: AnswerMessage) => void;
}

/** What one owner was asked. */
interface Asked {
  readonly owner: LiveRouter;
  readonly replicas: readonly ReplicaState[];
}

/** One question to several owners. */
interface Question {
  readonly askedAt: number;
  /** Owners that have not answered, by the number of what they were asked. */
  readonly waiting: Map<number, Asked>;
  readonly known: ReplicaState[];
  readonly finish: () => void;
}

/** Questions given up whose answers are still recognised. */
const mostLate = 100;

/** Creates a router's way to ask. */
export const createConsultation = (parts: ConsultationParts): Consultation => {
  const { name, link, owners, clock } = parts;
  const open = new Map<number, Question>();
  /** Asked and given up; a late answer shows that the owner lives. */
  const late = new Map<number, LiveRouter>();
  let number = 0;
  const times = createAdaptiveTimeout({
    initialLatency: assumedAnswerTime,
    smoothingFactor: answerTimeGain,
    timeoutRange: answerPatience,
  });

  const groupByOwner = (replicas: readonly ReplicaState[], known: ReplicaState[]) => {
    const byOwner = new Map<LiveRouter, ReplicaState[]>();
    for (const replica of replicas) {
      const owner = owners.ownerOf(replica);
      if (owner === undefined) continue;
      if (owners.isSelf(owner)) known.push(replica);
      else byOwner.set(owner, [...(byOwner.get(owner) ?? []), replica]);
    }
    return byOwner;
  };

  const giveUp = (question: Question): void => {
    for (const [key, { owner, replicas }] of question.waiting) {
      parts.lapse(replicas);
      open.delete(key);
      late.set(key, owner);
      owners.noteSilence(owner.name);
    }
    const oldest = late.size > mostLate ? late.keys().next().value : undefined;
    if (oldest !== undefined) late.delete(oldest);
    question.finish();
  };

  const ask: Consultation["ask"] = (replicas, keys) =>
    new Promise((resolve) => {
      const known: ReplicaState[] = [];
      const byOwner = groupByOwner(replicas, known);
      parts.lapse(known);
      if (byOwner.size === 0) {
        resolve(known);
        return;
      }
      const finish = (): void => {
        callOff();
        resolve(known);
      };
      const question: Question = { askedAt: clock.monotonic(), waiting: new Map(), known, finish };
      const callOff = clock.after(times.timeout(), () => giveUp(question));
      for (const [owner, owned] of byOwner) {
        number += 1;
        question.waiting.set(number, { owner, replicas: owned });
        open.set(number, question);
        const wanted = owned.map(({ entry }) => replicaKeyOf(entry.id));
        link.send(owner.at, encodeOwnerMessage({ kind: "ask", name, number, replicas: wanted, parts: keys }));
      }
    });

  const hear = (answer: AnswerMessage): void => {
    const question = open.get(answer.number);
    const owner = question?.waiting.get(answer.number)?.owner ?? late.get(answer.number);
    late.delete(answer.number);
    if (owner !== undefined) owners.noteAnswer(owner.name);
    if (question === undefined) return;
    open.delete(answer.number);
    question.waiting.delete(answer.number);
    times.observe(clock.monotonic() - question.askedAt);
    question.known.push(...parts.take(answer));
    if (question.waiting.size === 0) question.finish();
  };

  return { ask, hear };
};
