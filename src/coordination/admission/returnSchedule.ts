/**
 * Return schedule: when refused callers are asked to return, and which requests return.
 *
 * Handles overload in which many callers are refused at once. If each gets its `Retry-After` from the same prediction,
 * all of them return at about the same time, to capacity that has room for a few, and are refused again while requests
 * that never waited are served in their place. Here each caller is promised the next time that is not promised to
 * another one, and part of the capacity is kept for callers that return.
 */
import { createBoundedMap } from "../../state/boundedMap.ts";
import type { Clock } from "../clock.ts";
import { maxRetryAfterShare, minRetryAfter, retryAfterJitter } from "../forwarding/constants.ts";
import {
  callerTimePeriod,
  earlyReturnShare,
  maxTrackedReturns,
  maxTrackedRoutes,
  returnGrace,
  returnSpacing,
} from "./constants.ts";

/** A refused request. Durations are milliseconds. */
export interface RefusedRequest {
  readonly service: string;
  /** Identifies the prompt: its organisation and the id of its last part, which no other request or session has. */
  readonly prompt: string;
  /** Key of its organisation. */
  readonly organisation: number;
  readonly priority: number;
  /** Whether it was refused for its organisation's share: only that organisation's promises are ahead of it then. */
  readonly isForShare: boolean;
  /** Time until the queue has room again. */
  readonly timeToDrain: number;
  /** Time that this router's part of the service takes to compute it. */
  readonly computingTime: number;
  /** Time until the caller stops waiting. */
  readonly remaining: number;
}

/** A request that asks for admission. */
export interface ArrivingRequest {
  readonly service: string;
  readonly prompt: string;
  readonly route: string;
  readonly organisation: number;
  readonly priority: number;
  /** How long the caller waits, as it states, milliseconds; `undefined` if it does not. */
  readonly timeout: number | undefined;
}

/** The promises of one router. */
export interface ReturnSchedule {
  /**
   * Promises a refused request the next free time.
   *
   * @param random - A random number from 0 to 1.
   * @returns Milliseconds after which the caller should return.
   */
  readonly promise: (request: RefusedRequest, random: number) => number;
  /** Whether returns of the request's organisation and urgency are due, and the request is not one of them. */
  readonly isReserveClosed: (request: ArrivingRequest) => boolean;
  /** @returns Milliseconds until the time that this router promised to the prompt; 0 if it promised none. */
  readonly timeToPromise: (prompt: string) => number;
}

/** The returns that are due, of one organisation and urgency at one service. */
interface DueReturns {
  until: number;
  /** The shortest time that was promised, milliseconds, and until when that return is due. */
  shortest: number;
  shortestUntil: number;
}

/** A promise to one prompt, milliseconds on the monotonic clock. */
interface Promised {
  readonly at: number;
  readonly until: number;
}

/** The longest times that callers of a route stated in this period and in the one before, milliseconds. */
interface StatedTimes {
  periodEndsAt: number;
  longest: number;
  longestBefore: number;
}

/** Key of the promises to requests that were refused for the common limit. */
const allOrganisations = "";

/** Creates the schedule of one router. */
export const createReturnSchedule = (clock: Clock): ReturnSchedule => {
  /** By service and organisation: the time up to which capacity is promised. */
  const promisedUntil = createBoundedMap<number>(maxTrackedReturns);
  const dueReturns = createBoundedMap<DueReturns>(maxTrackedReturns);
  /** By prompt: callers that retry before their time would otherwise get another chance with every attempt. */
  const promises = createBoundedMap<Promised>(maxTrackedReturns);
  const statedTimes = createBoundedMap<StatedTimes>(maxTrackedRoutes);

  const noteStatedTime = (route: string, timeout: number): StatedTimes => {
    const now = clock.monotonic();
    const times = statedTimes.get(route);
    if (times === undefined || now >= times.periodEndsAt + callerTimePeriod) {
      const created = { periodEndsAt: now + callerTimePeriod, longest: timeout, longestBefore: 0 };
      statedTimes.set(route, created);
      return created;
    }
    if (now >= times.periodEndsAt) {
      times.periodEndsAt += callerTimePeriod;
      times.longestBefore = times.longest;
      times.longest = 0;
    }
    times.longest = Math.max(times.longest, timeout);
    return times;
  };

  /** @returns How long the request has waited already, milliseconds: callers state a shorter time when they return. */
  const waitedTime = ({ route, timeout }: ArrivingRequest): number => {
    if (timeout === undefined) return 0;
    const { longest, longestBefore } = noteStatedTime(route, timeout);
    return Math.max(longest, longestBefore) - timeout;
  };

  const dueKey = (service: string, organisation: number, priority: number): string =>
    `${service} ${organisation} ${priority}`;

  const noteDue = ({ service, organisation, priority }: RefusedRequest, wait: number): void => {
    const now = clock.monotonic();
    const until = now + wait + returnGrace;
    const key = dueKey(service, organisation, priority);
    const due = dueReturns.get(key);
    if (due === undefined || now >= due.until) {
      dueReturns.set(key, { until, shortest: wait, shortestUntil: until });
      return;
    }
    due.until = Math.max(due.until, until);
    if (wait > due.shortest && now < due.shortestUntil) return;
    due.shortest = wait;
    due.shortestUntil = until;
  };

  const timeToPromise = (prompt: string): number =>
    Math.max(0, (promises.get(prompt)?.at ?? 0) - clock.monotonic());

  return {
    timeToPromise,
    promise: (request, random) => {
      const { service, organisation, isForShare, remaining } = request;
      const now = clock.monotonic();
      const before = timeToPromise(request.prompt);
      // A second promise would take capacity from other callers.
      if (before > 0) return Math.max(minRetryAfter, before);
      const longest = Math.max(minRetryAfter, remaining * maxRetryAfterShare);
      const key = `${service} ${isForShare ? organisation : allOrganisations}`;
      const free = Math.max(now + request.timeToDrain, promisedUntil.get(key) ?? 0);
      const latest = now + longest;
      promisedUntil.set(key, Math.min(latest, free + request.computingTime * returnSpacing));
      const jitter = 1 + (random - 0.5) * retryAfterJitter;
      const wait = Math.max(minRetryAfter, Math.min((free - now) * jitter, longest));
      noteDue(request, wait);
      promises.set(request.prompt, {
        at: now + wait * earlyReturnShare,
        until: now + wait + returnGrace,
      });
      return wait;
    },
    isReserveClosed: (request) => {
      const waited = waitedTime(request);
      const due = dueReturns.get(dueKey(request.service, request.organisation, request.priority));
      const promised = promises.get(request.prompt);
      if (promised !== undefined && clock.monotonic() < promised.until)
        return clock.monotonic() < promised.at;
      if (due === undefined || clock.monotonic() >= due.until) return false;
      return waited < Math.max(minRetryAfter, due.shortest) * earlyReturnShare;
    },
  };
};
