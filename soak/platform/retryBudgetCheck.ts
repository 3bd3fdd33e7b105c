/** Checks that repeated arrivals at the replicas of a service stay within the budget of all routers together. */
import type { Violation } from "../types.ts";
import type { ReplicaRecord, SoakHistory } from "./types.ts";

/** The most that a change of settings adds to the reserve for retries. */
export const maxAddedReserve = 10;

const attemptHeader = "x-attempt-id";

/** @returns The times of arrivals beyond the first of their request, milliseconds, in order. */
const repeatTimes = (replicas: readonly ReplicaRecord[]): readonly number[] => {
  const arrivals = replicas.flatMap((each) => each.arrivals).toSorted((left, right) => left.at - right.at);
  const seen = new Set<string>();
  return arrivals.flatMap(({ headers, at }) => {
    const id = headers[attemptHeader];
    // Health probes have none.
    if (typeof id !== "string") return [];
    if (seen.has(id)) return [at];
    seen.add(id);
    return [];
  });
};

const countWithin = (times: readonly number[], from: number, duration: number): number =>
  times.filter((time) => time >= from && time < from + duration).length;

/** The requests are those of the window, of the one before it or of the one half a window before it. */
const countRequests = (sentAt: readonly number[], from: number, window: number): number =>
  Math.max(...[from, from - window, from - window / 2].map((start) => countWithin(sentAt, start, window)));

/** Requests whose callers got no answer count as well: they may have reached a router. */
export const findRetryBudgetOverruns = ({
  callers,
  replicas,
  steps,
  bounds,
}: SoakHistory): readonly Violation[] => {
  const window = bounds.retryWindowSeconds * 1_000;
  const added = steps.some(({ kind }) => kind === "changeSettings") ? maxAddedReserve : 0;
  const isForEngines = ({ name }: { readonly name: string }): boolean => name === "ask" || name === "tag";
  return ["engines", "desk"].flatMap((service) => {
    const repeats = repeatTimes(replicas.filter((replica) => replica.service === service));
    const sentAt = callers
      .filter((caller) => isForEngines(caller) === (service === "engines"))
      .map((caller) => caller.sentAt);
    return repeats
      .map((from) => {
        const allowed = bounds.retryRatio * countRequests(sentAt, from, window) + bounds.retryReserve + added;
        return { count: countWithin(repeats, from, window), allowed };
      })
      .filter(({ count, allowed }) => count > allowed)
      .slice(0, 1)
      .map(({ count, allowed }) => ({
        promise: "repeated arrivals stay within the retry budget of all routers",
        detail: `${service}: ${count} in ${bounds.retryWindowSeconds} s, allowed ${allowed.toFixed(1)}`,
      }));
  });
};
