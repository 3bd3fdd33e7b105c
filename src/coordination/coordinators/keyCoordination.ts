/**
 * Coordination of keys by one router: queries the coordinator of a key, answers as the coordinator, and probes the
 * routers on which its role depends: predecessors in a key's order, after a start or a pause also successors, and one
 * router of each data centre. The limits of organisations and of replicas are enforced this way. A key is an
 * organisation's name or a replica's id; not an API key.
 */
import type { DatagramLink } from "../../protocol/forwarding/DatagramLink.ts";
import type { CoordinatorQuery, LimitAnswer } from "../../protocol/forwarding/limitMessage.ts";
import { decodeLimitMessage, encodeLimitMessage } from "../../protocol/forwarding/limitMessage.ts";
import type { RouterEntry } from "../../protocol/forwarding/types.ts";
import type { Clock } from "../clock.ts";
import type { LiveRouter } from "../replicaOwners/owners.ts";
import { maxCandidates, roleCheckInterval, skipDuration } from "./constants.ts";
import { createCoordinatorQueries } from "./coordinatorQueries.ts";
import type { Coordinators } from "./coordinators.ts";
import { createCoordinators } from "./coordinators.ts";

export interface KeyCoordinationDependencies {
  readonly self: RouterEntry;
  readonly link: DatagramLink;
  readonly clock: Clock;
  /** @returns The other routers that may be serving, unreachable ones included. */
  readonly others: () => readonly LiveRouter[];
  /** @returns The data centre whose routers come first for a key; `undefined` if none is preferred. */
  readonly nearestDataCentre?: (key: string) => string | undefined;
  /** @returns When the store listed no other router, milliseconds on the monotonic clock; `undefined` if it lists some. */
  readonly listedAloneAt?: () => number | undefined;
  /** A number from 0 to 1. */
  readonly random: () => number;
}

type QueryOf<Kind extends CoordinatorQuery["kind"]> = Extract<CoordinatorQuery, { readonly kind: Kind }>;

/** Answers queries of one kind about the keys that this router coordinates; about others the verdict is `elsewhere`. */
export interface CoordinatorRole<Kind extends CoordinatorQuery["kind"]> {
  readonly answer: (query: QueryOf<Kind>) => LimitAnswer;
  /** Called once every {@link roleCheckInterval}. */
  readonly poll: () => void;
}

/** By the kind of their queries. */
export type CoordinatorRoles = { readonly [Kind in CoordinatorQuery["kind"]]?: CoordinatorRole<Kind> };

/** The coordination of keys, from its creation until it is disposed of. */
export interface KeyCoordination extends AsyncDisposable {
  readonly coordinators: Pick<Coordinators, "isActing" | "monitor">;
  /** From now on this router answers queries of these kinds. */
  readonly addRoles: (added: CoordinatorRoles) => void;
  /** @returns The answer of the key's coordinator; `undefined` if no router answers as such. */
  readonly query: (key: string, query: CoordinatorQuery) => Promise<LimitAnswer | undefined>;
  /** @returns The number of routers that may be serving, this one included. */
  readonly countRouters: () => number;
}

/** @returns The answer of a router that does not coordinate the key it was queried for. */
export const answerElsewhere = (number: number): LimitAnswer => ({
  kind: "answer",
  number,
  verdict: "elsewhere",
  wait: 0,
  remainingPercent: 0,
});

/** Starts to send and answer queries, until it is disposed of. */
export const createKeyCoordination = (dependencies: KeyCoordinationDependencies): KeyCoordination => {
  const { link, clock, random, others } = dependencies;
  const { name, dataCentre, address, port } = dependencies.self;
  const self: LiveRouter = { name, dataCentre, at: { address, port } };
  const { nearestDataCentre = () => undefined } = dependencies;
  const { listedAloneAt = () => undefined } = dependencies;
  const coordinators = createCoordinators({ self, others, nearestDataCentre, listedAloneAt, clock });
  const queries = createCoordinatorQueries({ link, clock, random });
  /** By name of a router: the time until which it is not queried about any key. */
  const skippedUntil = new Map<string, number>();
  const roles: { [Kind in CoordinatorQuery["kind"]]?: CoordinatorRole<Kind> } = {};

  const answerQuery = (query: CoordinatorQuery): LimitAnswer => {
    const answer =
      query.kind === "question" ? roles.question?.answer(query) : roles.replicaQuestion?.answer(query);
    return answer ?? answerElsewhere(query.number);
  };

  /**
   * The first few routers that are not skipped: where most routers are lost the coordinator may be far down the order.
   */
  const candidatesFor = (key: string): readonly LiveRouter[] => {
    const now = clock.monotonic();
    const order = coordinators.orderFor(key);
    return order.filter((router) => (skippedUntil.get(router.name) ?? now) <= now).slice(0, maxCandidates);
  };

  const poll = (): void => {
    cancelPoll = clock.after(roleCheckInterval, poll);
    coordinators.poll();
    roles.question?.poll();
    roles.replicaQuestion?.poll();
    coordinators.routersToProbe().forEach(queries.probe);
  };
  let cancelPoll = clock.after(roleCheckInterval, poll);

  link.receive((datagram, from) => {
    coordinators.noteReceived(from);
    const message = decodeLimitMessage(datagram);
    if (message?.kind === "answer") {
      coordinators.noteAnswer(from);
      queries.receive(message);
    } else if (message !== undefined) link.send(from, encodeLimitMessage(answerQuery(message)));
  });

  return {
    coordinators,
    addRoles: (added) => Object.assign(roles, added),
    query: async (key, query) => {
      for (const router of candidatesFor(key)) {
        const isSelf = router.name === name;
        const answer = isSelf ? answerQuery(query) : await queries.query(router, query);
        if (answer !== undefined && answer.verdict !== "elsewhere") return answer;
        if (!isSelf) skippedUntil.set(router.name, clock.monotonic() + skipDuration);
      }
      return undefined;
    },
    countRouters: () => 1 + others().length,
    [Symbol.asyncDispose]: () => {
      cancelPoll();
      return Promise.resolve();
    },
  };
};
