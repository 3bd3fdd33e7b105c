/** Sends queries to coordinators and matches answers to them; answers that arrive after the timeout are dropped. */
import type { DatagramLink } from "../../protocol/forwarding/DatagramLink.ts";
import type {
  CoordinatorQuery,
  LimitAnswer,
  UsageLimitQuery,
} from "../../protocol/forwarding/limitMessage.ts";
import { encodeLimitMessage } from "../../protocol/forwarding/limitMessage.ts";
import { createAdaptiveTimeout } from "../adaptiveTimeout.ts";
import type { Clock } from "../clock.ts";
import type { LiveRouter } from "../replicaOwners/owners.ts";
import { answerTimeSmoothing, answerTimeout, initialAnswerTime } from "./constants.ts";

export interface CoordinatorQueriesDependencies {
  readonly link: DatagramLink;
  readonly clock: Clock;
  /** A number from 0 to 1. */
  readonly random: () => number;
}

/** Queries that this router has sent and that wait for an answer. */
export interface CoordinatorQueries {
  /**
   * Sends a query under a number of its own; the number in the query is ignored.
   *
   * @returns The answer of that router, or `undefined` if none arrives within the timeout.
   */
  readonly query: (to: LiveRouter, query: CoordinatorQuery) => Promise<LimitAnswer | undefined>;
  /** Asks for a heartbeat: any answer counts as one. */
  readonly probe: (to: LiveRouter) => void;
  /** Resolves the query that an answer belongs to. */
  readonly receive: (answer: LimitAnswer) => void;
}

interface Pending {
  readonly askedAt: number;
  readonly settle: (answer: LimitAnswer | undefined) => void;
}

/**
 * Query numbers start at a random value below this, so that an answer meant for the process that had this address before
 * is not taken as a grant.
 */
const firstNumberBound = 2 ** 32;

/** A query without an organisation asks for a heartbeat only. */
const heartbeatQuery: UsageLimitQuery = {
  kind: "question",
  number: 0,
  organisation: "",
  amount: 0,
  spent: 0,
  returned: 0,
};

/** Creates the queries of one router, none of them pending. */
export const createCoordinatorQueries = ({
  link,
  clock,
  random,
}: CoordinatorQueriesDependencies): CoordinatorQueries => {
  const pending = new Map<number, Pending>();
  let lastNumber = Math.floor(random() * firstNumberBound);
  const times = createAdaptiveTimeout({
    initialLatency: initialAnswerTime,
    smoothingFactor: answerTimeSmoothing,
    timeoutRange: answerTimeout,
  });

  return {
    query: ({ at }, query) =>
      new Promise((resolve) => {
        lastNumber += 1;
        const number = lastNumber;
        const cancelTimeout = clock.after(times.timeout(), () => {
          pending.delete(number);
          resolve(undefined);
        });
        const settle = (answer: LimitAnswer | undefined): void => {
          cancelTimeout();
          resolve(answer);
        };
        pending.set(number, { askedAt: clock.monotonic(), settle });
        link.send(at, encodeLimitMessage({ ...query, number }));
      }),
    probe: ({ at }) => link.send(at, encodeLimitMessage(heartbeatQuery)),
    receive: (answer) => {
      const query = pending.get(answer.number);
      if (query === undefined) return;
      pending.delete(answer.number);
      times.observe(clock.monotonic() - query.askedAt);
      query.settle(answer);
    },
  };
};
