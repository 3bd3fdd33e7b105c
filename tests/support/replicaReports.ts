/** Counts arrivals, by router, at replicas that report draining or request backoff. */
import type { Arrival, ReplicaStandIn } from "../../standIns/platform/replica.ts";
import { drainingReplicaOf } from "../../standIns/platform/platformSystem.ts";
import type { ReceivedAnswer } from "./limitedReplicas.ts";
import { routerHeader } from "./limitedReplicas.ts";

const millisecondsPerSecond = 1_000;

/** Time for which requests already sent may still arrive after a replica requested backoff, milliseconds. */
const backoffGrace = 500;

const routerOf = ({ headers }: Pick<Arrival, "headers">): string => String(headers[routerHeader]);

/**
 * @param answers - All answers that callers received.
 * @param bound - Milliseconds.
 * @returns The number of arrivals from a router later than the bound after it forwarded an answer that reports draining.
 */
export const arrivalsAfterDraining = (
  replica: Pick<ReplicaStandIn, "id" | "arrivals">,
  answers: readonly ReceivedAnswer[],
  bound: number,
): number => {
  const reportedAt = new Map<string, number>();
  for (const { headers, router, answeredAt } of answers) {
    if (drainingReplicaOf(headers) !== replica.id) continue;
    const key = String(router);
    reportedAt.set(key, Math.min(reportedAt.get(key) ?? Number.POSITIVE_INFINITY, answeredAt));
  }
  return replica.arrivals.filter((arrival) => {
    const since = reportedAt.get(routerOf(arrival));
    return since !== undefined && arrival.at > since + bound;
  }).length;
};

/**
 * @param since - Earlier arrivals don't count; milliseconds on this process's monotonic clock.
 * @param bound - Milliseconds.
 * @returns The number of arrivals later than the bound after the first one from the same router.
 */
export const arrivalsAfterFirst = (
  { arrivals }: Pick<ReplicaStandIn, "arrivals">,
  since: number,
  bound: number,
): number => {
  const first = new Map<string, number>();
  const later = arrivals.filter(({ at }) => at >= since);
  for (const arrival of later) first.set(routerOf(arrival), first.get(routerOf(arrival)) ?? arrival.at);
  return later.filter((arrival) => arrival.at > (first.get(routerOf(arrival)) ?? arrival.at) + bound).length;
};

/** @returns The most requests that one router sent to a replica within one backoff that the replica had requested. */
export const worstInBackoff = ({ arrivals }: Pick<ReplicaStandIn, "arrivals">): number => {
  const counts = arrivals.map(({ headers, refusedAt, retryAfter }) => {
    const backoff = Number(retryAfter === "" ? Number.NaN : retryAfter) * millisecondsPerSecond;
    if (refusedAt === undefined || Number.isNaN(backoff)) return 0;
    const router = routerOf({ headers });
    return arrivals.filter(
      (arrival) =>
        routerOf(arrival) === router &&
        arrival.at > refusedAt + backoffGrace &&
        arrival.at < refusedAt + backoff,
    ).length;
  });
  return Math.max(0, ...counts);
};
