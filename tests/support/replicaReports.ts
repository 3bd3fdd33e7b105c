/** Arrivals at replicas that report draining or ask for backoff, by router. */
import type { Arrival, ReplicaStandIn } from "../../standIns/platform/replica.ts";
import { drainingReplicaOf } from "../../standIns/platform/platformSystem.ts";
import type { ReceivedAnswer } from "./limitedReplicas.ts";
import { routerHeader } from "./limitedReplicas.ts";

const millisecondsPerSecond = 1_000;

/** Requests under way when a replica asks for backoff may arrive for so long, milliseconds. */
const backoffGrace = 500;

const routerOf = ({ headers }: Pick<Arrival, "headers">): string => String(headers[routerHeader]);

/** @returns Arrivals from routers that had passed on an answer that reports draining longer than a bound before. */
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

/** @returns Arrivals from each router longer than a bound after the first one since a moment. */
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

/** @returns The most requests that one router sent to a replica within one backoff that the replica had asked for. */
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
