/** Callers of routers before replicas that name a limit, and how much such a replica got. */
import { setTimeout as sleep } from "node:timers/promises";
import type { ReplicaStandIn } from "../../standIns/platform/replica.ts";
import type { CallerAnswer, RequestOptions, PlatformSystem } from "../../standIns/platform/platformSystem.ts";
import { sendRequest } from "../../standIns/platform/platformSystem.ts";
import { allowedInWindow, mostInAnyWindow, allowance } from "./limitAllowance.ts";

const millisecondsPerSecond = 1_000;

/** Names the router through which a request goes; passed on unchanged. */
export const routerHeader = "x-through";

/** The answer to a request, with when it was asked and answered: milliseconds on this process's monotonic clock. */
export interface ReceivedAnswer extends CallerAnswer {
  readonly router: number;
  readonly askedAt: number;
  readonly answeredAt: number;
  /** The replica that answered; nothing for answers of a router. */
  readonly replica: string | undefined;
}

/** The limit that an answer carries. */
const namedIn = ({ headers }: ReceivedAnswer): string | undefined => {
  const value = headers["server-limit"];
  return typeof value === "string" ? value : undefined;
};

const replicaOf = ({ headers }: CallerAnswer): string | undefined => {
  const seal = headers["x-replica-seal"];
  return typeof seal === "string" ? seal.split(".")[0] : undefined;
};

/** Sends at a pace, to the routers in turn, whatever the answers are; resolves once all are there. */
export const sendSteadily = async (
  { routers }: Pick<PlatformSystem, "routers">,
  asked: RequestOptions,
  { perSecond, seconds }: { readonly perSecond: number; readonly seconds: number },
): Promise<readonly ReceivedAnswer[]> => {
  const begunAt = performance.now();
  const sent: Promise<ReceivedAnswer>[] = [];
  const send = async (turn: number): Promise<ReceivedAnswer> => {
    const index = turn % routers.length;
    const router = routers[index];
    if (router === undefined) throw new Error("There is no router.");
    const askedAt = performance.now();
    const headers = { ...asked.headers, [routerHeader]: String(index) };
    const answer = await sendRequest(router, { ...asked, headers });
    return { ...answer, router: index, askedAt, answeredAt: performance.now(), replica: replicaOf(answer) };
  };
  for (let turn = 0; turn < perSecond * seconds; turn += 1) {
    const due = begunAt + (turn * millisecondsPerSecond) / perSecond;
    await sleep(Math.max(0, due - performance.now()));
    sent.push(send(turn));
  }
  return Promise.all(sent);
};

/** @returns The most that a replica got in any window from routers that it had told of its limit a moment before. */
export const worstIntake = (
  replica: Pick<ReplicaStandIn, "id" | "arrivals">,
  answers: readonly ReceivedAnswer[],
): number => {
  const toldAt = new Map<string, number>();
  for (const answer of answers) {
    if (answer.replica !== replica.id || namedIn(answer) === undefined) continue;
    const router = String(answer.router);
    toldAt.set(router, Math.min(toldAt.get(router) ?? Number.POSITIVE_INFINITY, answer.answeredAt));
  }
  const counted = replica.arrivals.filter(({ headers, at }) => {
    const told = toldAt.get(String(headers[routerHeader]));
    return told !== undefined && at >= told + allowance.grace;
  });
  return mostInAnyWindow(counted.map(({ at }) => at));
};

/** @returns What a replica may get in a window. */
export const allowedIntake = (perSecond: number): number => Math.floor(allowedInWindow(perSecond));
