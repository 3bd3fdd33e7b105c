/**
 * What one router keeps for all: asks the keeper of a subject, answers as one, and looks after those that come before
 * this router. Limits of organisations and of replicas are kept so.
 */
import type { DatagramLink } from "../../protocol/forwarding/DatagramLink.ts";
import type { KeeperQuestion, LimitAnswer } from "../../protocol/forwarding/limitMessage.ts";
import { decodeLimitMessage, encodeLimitMessage } from "../../protocol/forwarding/limitMessage.ts";
import type { RouterEntry } from "../../protocol/forwarding/types.ts";
import type { Clock } from "../clock.ts";
import type { LiveRouter } from "../replicaOwners/owners.ts";
import { keepersTried, lookInterval, passedOver } from "./constants.ts";
import { createKeeperQuestions } from "./coordinatorQueries.ts";
import type { Coordinators } from "./coordinators.ts";
import { createCoordinators } from "./coordinators.ts";

/** What keeping works with. */
export interface KeyCoordinationDependencies {
  readonly self: RouterEntry;
  readonly link: DatagramLink;
  readonly clock: Clock;
  /** @returns The other routers that may be serving, silent ones included. */
  readonly others: () => readonly LiveRouter[];
  /** @returns The data centre whose routers come first for a subject; nothing if none is nearer than others. */
  readonly nearestDataCentre?: (subject: string) => string | undefined;
  /** A number from 0 to 1. */
  readonly random: () => number;
}

type QuestionOf<Kind extends KeeperQuestion["kind"]> = Extract<KeeperQuestion, { readonly kind: Kind }>;

/** Answers questions of one kind about what this router keeps; anything else is `elsewhere`. */
export interface CoordinatorRole<Kind extends KeeperQuestion["kind"]> {
  readonly answer: (question: QuestionOf<Kind>) => LimitAnswer;
  /** Called in every turn of looking after what is kept. */
  readonly poll: () => void;
}

/** By the kind of their questions. */
export type CoordinatorRoles = { readonly [Kind in KeeperQuestion["kind"]]?: CoordinatorRole<Kind> };

/** See {@link createKeyCoordination}. */
export interface KeyCoordination extends AsyncDisposable {
  readonly coordinators: Pick<Coordinators, "isActing" | "watch">;
  /** This router answers questions of these kinds from now on. */
  readonly addRoles: (taken: CoordinatorRoles) => void;
  /** @returns What the keeper of a subject says; nothing if there is none that answers. */
  readonly ask: (subject: string, question: KeeperQuestion) => Promise<LimitAnswer | undefined>;
  /** @returns How many routers there may be, this one included. */
  readonly countRouters: () => number;
}

/** The answer of a router that doesn't keep what it was asked about. */
export const elsewhere = (number: number): LimitAnswer => ({
  kind: "answer",
  number,
  verdict: "elsewhere",
  wait: 0,
  room: 0,
});

/** Starts to ask and answer, until it is disposed of. */
export const createKeyCoordination = (parts: KeyCoordinationDependencies): KeyCoordination => {
  const { link, clock, random, others } = parts;
  const { name, dataCentre, address, port } = parts.self;
  const self: LiveRouter = { name, dataCentre, at: { address, port } };
  const { nearestDataCentre: nearestTo = () => undefined } = parts;
  const keepers = createCoordinators({ self, others, nearestDataCentre: nearestTo, clock });
  const questions = createKeeperQuestions({ link, clock, random });
  /** By name of a router: until when it is not asked. */
  const passed = new Map<string, number>();
  const roles: { [Kind in KeeperQuestion["kind"]]?: CoordinatorRole<Kind> } = {};

  const answer = (question: KeeperQuestion): LimitAnswer => {
    const said =
      question.kind === "question"
        ? roles.question?.answer(question)
        : roles.replicaQuestion?.answer(question);
    return said ?? elsewhere(question.number);
  };

  /** The first few that did not fail to answer just now: where most routers are lost the keeper may come late. */
  const askable = (subject: string): readonly LiveRouter[] => {
    const now = clock.monotonic();
    const order = keepers.orderFor(subject);
    return order.filter((router) => (passed.get(router.name) ?? now) <= now).slice(0, keepersTried);
  };

  const look = (): void => {
    callOff = clock.after(lookInterval, look);
    keepers.poll();
    roles.question?.poll();
    roles.replicaQuestion?.poll();
    keepers.routersToProbe().forEach(questions.probe);
  };
  let callOff = clock.after(lookInterval, look);

  link.receive((datagram, from) => {
    keepers.noteReceived(from);
    const message = decodeLimitMessage(datagram);
    if (message?.kind === "answer") {
      keepers.noteAnswer(from);
      questions.hear(message);
    } else if (message !== undefined) link.send(from, encodeLimitMessage(answer(message)));
  });

  return {
    coordinators: keepers,
    addRoles: (role) => Object.assign(roles, role),
    ask: async (subject, question) => {
      for (const router of askable(subject)) {
        const isSelf = router.name === name;
        const said = isSelf ? answer(question) : await questions.ask(router, question);
        if (said !== undefined && said.verdict !== "elsewhere") return said;
        if (!isSelf) passed.set(router.name, clock.monotonic() + passedOver);
      }
      return undefined;
    },
    countRouters: () => 1 + others().length,
    [Symbol.asyncDispose]: () => {
      callOff();
      return Promise.resolve();
    },
  };
};
