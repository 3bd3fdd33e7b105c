/** Callers of routers whose replicas report a limit, and the number of requests that such a replica received. */
import { setTimeout as sleep } from "node:timers/promises";
import type { ReplicaStandIn } from "../../standIns/platform/replica.ts";
import type { CallerAnswer, RequestOptions, PlatformSystem } from "../../standIns/platform/platformSystem.ts";
import { sendRequest } from "../../standIns/platform/platformSystem.ts";
import { allowedInWindow, mostInAnyWindow, allowance } from "./limitAllowance.ts";

const millisecondsPerSecond = 1_000;

/** Carries the index of the router that a request was sent to; routers forward it unchanged. */
export const routerHeader = "x-through";

/** The answer to a request; times in milliseconds on this process's monotonic clock. */
export interface ReceivedAnswer extends CallerAnswer {
  readonly router: number;
  readonly askedAt: number;
  readonly answeredAt: number;
  /** The id of the replica that answered; `undefined` if a router answered. */
  readonly replica: string | undefined;
}

/** @returns The limit that an answer reports, as text. */
const reportedLimitOf = ({ headers }: ReceivedAnswer): string | undefined => {
  const value = headers["server-limit"];
  return typeof value === "string" ? value : undefined;
};

const replicaOf = ({ headers }: CallerAnswer): string | undefined => {
  const seal = headers["x-replica-seal"];
  return typeof seal === "string" ? seal.split(".")[0] : undefined;
};

/**
 * Sends requests at a constant rate to the routers in turn, without waiting for answers.
 *
 * @returns All answers, once the last one is there.
 */
export const sendSteadily = async (
  { routers }: Pick<PlatformSystem, "routers">,
  request: RequestOptions,
  { perSecond, seconds }: { readonly perSecond: number; readonly seconds: number },
): Promise<readonly ReceivedAnswer[]> => {
  const startedAt = performance.now();
  const sent: Promise<ReceivedAnswer>[] = [];
  const send = async (count: number): Promise<ReceivedAnswer> => {
    const index = count % routers.length;
    const router = routers[index];
    if (router === undefined) throw new Error("There is no router.");
    const askedAt = performance.now();
    const headers = { ...request.headers, [routerHeader]: String(index) };
    const answer = await sendRequest(router, { ...request, headers });
    return { ...answer, router: index, askedAt, answeredAt: performance.now(), replica: replicaOf(answer) };
  };
  for (let count = 0; count < perSecond * seconds; count += 1) {
    const due = startedAt + (count * millisecondsPerSecond) / perSecond;
    await sleep(Math.max(0, due - performance.now()));
    sent.push(send(count));
  }
  return Promise.all(sent);
};

/**
 * @param answers - All answers that callers received.
 * @returns The most requests that a replica received in any window from routers that had known its limit for the grace
 *   time.
 */
export const worstIntake = (
  replica: Pick<ReplicaStandIn, "id" | "arrivals">,
  answers: readonly ReceivedAnswer[],
): number => {
  const firstReportedAt = new Map<string, number>();
  for (const answer of answers) {
    if (answer.replica !== replica.id || reportedLimitOf(answer) === undefined) continue;
    const router = String(answer.router);
    firstReportedAt.set(
      router,
      Math.min(firstReportedAt.get(router) ?? Number.POSITIVE_INFINITY, answer.answeredAt),
    );
  }
  const counted = replica.arrivals.filter(({ headers, at }) => {
    const since = firstReportedAt.get(String(headers[routerHeader]));
    return since !== undefined && at >= since + allowance.grace;
  });
  return mostInAnyWindow(counted.map(({ at }) => at));
};

/** @returns The number of requests that a replica may receive in a window. */
export const allowedIntake = (perSecond: number): number => Math.floor(allowedInWindow(perSecond));
