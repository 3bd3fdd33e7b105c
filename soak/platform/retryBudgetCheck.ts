/** Checks that repeated arrivals at the replicas of a service stay within the budget of all routers together. */
import { findRepeats, findWorstRetryWindow } from "../../tests/support/retryWindows.ts";
import type { Violation } from "../types.ts";
import type { ReplicaRecord, SoakHistory } from "./types.ts";

/** The most that a change of settings adds to the reserve for retries. */
export const maxAddedReserve = 10;

const attemptHeader = "x-attempt-id";

/** Health probes have no id. */
const repeatTimes = (replicas: readonly ReplicaRecord[]): readonly number[] =>
  findRepeats(
    replicas
      .flatMap(({ arrivals }) => arrivals)
      .map(({ headers, at }) => ({ id: headers[attemptHeader], at }))
      .filter(({ id }) => typeof id === "string"),
  );

/** Requests whose callers got no answer count as well: they may have reached a router. */
export const findRetryBudgetOverruns = ({
  callers,
  replicas,
  steps,
  bounds,
}: SoakHistory): readonly Violation[] => {
  const added = steps.some(({ kind }) => kind === "changeSettings") ? maxAddedReserve : 0;
  const budget = {
    retryRatio: bounds.retryRatio,
    retryReserve: bounds.retryReserve + added,
    retryWindow: bounds.retryWindowSeconds * 1_000,
  };
  const isForEngines = ({ name }: { readonly name: string }): boolean => name === "ask" || name === "tag";
  return ["engines", "desk"].flatMap((service) => {
    const repeats = repeatTimes(replicas.filter((replica) => replica.service === service));
    const sentAt = callers
      .filter((caller) => isForEngines(caller) === (service === "engines"))
      .map((caller) => caller.sentAt)
      .toSorted((left, right) => left - right);
    const { count, allowed } = findWorstRetryWindow(sentAt, repeats, budget);
    if (count <= allowed) return [];
    return [
      {
        promise: "repeated arrivals stay within the retry budget of all routers",
        detail: `${service}: ${count} in ${bounds.retryWindowSeconds} s, allowed ${allowed.toFixed(1)}`,
      },
    ];
  });
};
