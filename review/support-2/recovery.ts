/** Judges whether routers serve again once a disruption is over. */
import { setTimeout as sleep } from "node:timers/promises";
import type { CallerRequest, CallerResult } from "./callers.ts";
import { isServed, sendEvenly } from "./callers.ts";
import type { Router } from "./deployment.ts";
import type { Verdict, WriteRecord } from "./record.ts";

/** Time after which routers have to serve again, milliseconds, with a second to spare: `recoveryS` is 12. */
const recoveryTime = 13_000;

/** Requests that each router gets afterwards, and milliseconds between two of them. */
const laterRequests = { count: 20, interval: 250 } as const;

/** Share of the requests that have to be served, if as many were served before. */
const leastServed = 0.25;

const shareOf = (results: readonly CallerResult[]): number =>
  results.filter(isServed).length / Math.max(1, results.length);

/**
 * Waits for the recovery time without any requests, and then sends some.
 *
 * @param before - The results of the requests before the disruption.
 */
export const judgeRecovery = async (
  routers: readonly Router[],
  before: readonly CallerResult[],
  next: () => CallerRequest,
  write: WriteRecord,
): Promise<Verdict> => {
  write("The disruption is over; nothing is sent for the recovery time.");
  await sleep(recoveryTime);
  write("Requests later than the recovery time:");
  const { count, interval } = laterRequests;
  const later = await Promise.all(routers.map((router) => sendEvenly(router, count, interval, next, write)));
  const servedBefore = shareOf(before);
  const servedLater = shareOf(later.flat());
  if (servedBefore < leastServed) throw new Error("Too few requests were served before the disruption.");
  const perRouter = later.map((results) => `${results.filter(isServed).length}/${results.length}`).join(" ");
  const summary =
    `served before: ${before.filter(isServed).length}/${before.length}, ` +
    `later than the recovery time: ${perRouter} by router`;
  return { isBroken: servedLater < leastServed, summary };
};
