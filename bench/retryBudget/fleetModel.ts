/**
 * A model of routers that share a retry budget while their callers move between them and their processes die, restart,
 * join and are replaced. Every router takes each retry that it is granted, and the whole is measured as its users do: in
 * every window, over all routers.
 */
import type { Random } from "../model/random.ts";
import type { Clock } from "../../src/coordination/clock.ts";
import { createReserveShare } from "../../src/coordination/forwarding/reserveShare.ts";
import type { ReserveShare } from "../../src/coordination/forwarding/reserveShare.ts";
import { bootstrapPause } from "../../src/coordination/storeEpochs/constants.ts";
import type { StableCount } from "../../src/coordination/storeEpochs/stableCount.ts";
import { createStableCount } from "../../src/coordination/storeEpochs/stableCount.ts";
import type { RouterOrigin } from "../../src/coordination/storeEpochs/routerRegistration.ts";
import type { RetryBudget } from "../../tests/support/retryWindows.ts";
import { allowedRepeats } from "../../tests/support/retryWindows.ts";
import type { RetryShare } from "../../src/coordination/forwarding/retryShare.ts";

/** What decides on the retries of one process. */
export type Allowance = Pick<RetryShare, "noteRequest" | "tryTake">;

/** Creates the allowance of a process that starts now. */
export type AllowanceFactory = (clock: Clock, budget: RetryBudget, reserveShare: ReserveShare) => Allowance;

/** Something that happens to some of the routers. */
export interface FleetEvent {
  /**
   * - `leave`: their callers move to the other routers, and return after the duration
   * - `drain`: the same; the process ends after a part of the duration, and its successor starts at the end
   * - `kill`: the processes die, and start again under their names after the duration
   * - `replace`: the processes die, and others start under new names after the duration
   * - `join`: as many routers start under new names
   * - `surge`: all requests are more by half for the duration
   */
  readonly kind: "leave" | "drain" | "kill" | "replace" | "join" | "surge";
  /** Milliseconds from the start. */
  readonly at: number;
  /** Milliseconds. */
  readonly duration: number;
  /** The first of the routers that it affects, 0 to 1. */
  readonly first: number;
  /** Share of the routers that it affects, 0 to 1. */
  readonly share: number;
}

/** Replicas that fail from time to time, while the others serve. */
export interface FailureEpisodes {
  /** Time from the start of one episode to the next, milliseconds. */
  readonly interval: number;
  /** Milliseconds. */
  readonly duration: number;
  /** Share of the attempts that fail during an episode. */
  readonly share: number;
}

/** Routers, load and events of one play. */
export interface FleetHistory {
  readonly routers: number;
  readonly requestsPerSecond: number;
  /** When the first router starts, and within which time the others do; milliseconds. */
  readonly start: { readonly at: number; readonly spread: number };
  /** When requests begin to fail, milliseconds from the start. */
  readonly failsFrom: number;
  /** Every request fails, and routers take all that they are granted, unless only some attempts fail. */
  readonly episodes?: FailureEpisodes;
  /** Milliseconds. */
  readonly duration: number;
  readonly events: readonly FleetEvent[];
}

/** What a play has shown. */
export interface FleetOutcome {
  /** Retries in the window that uses most of its budget, as a share of what is allowed there. */
  readonly worstWindow: number;
  /** Retries granted in the first second of failures, as a share of what a window allows. */
  readonly firstSecond: number;
  /** Retries granted while requests failed, as a share of what the windows allow. */
  readonly sustained: number;
  /** Retries that routers asked for where only some attempts fail, and how many of them were denied. */
  readonly asked: number;
  readonly denied: number;
}

/** Length of a step, milliseconds. */
const step = 100;

/** How long it takes until routers know of a router that has started, milliseconds. */
const listingDelay = 1_000;

/** How much later the other routers count it, milliseconds. */
const countingDelay = 1_000;

/** Part of its duration after which a draining process ends. */
const drainedAfter = 0.5;

/** How much more requests there are in a surge. */
const surgeFactor = 1.5;

const service = "desk";

/** Retries of a request where only some attempts fail. */
const maxRetries = 2;

/** Attempts that a router makes for a retry in each step; more than any step is granted. */
const maxTakenPerStep = 10_000;

interface RouterProcess {
  readonly allowance: Allowance;
  readonly reserveShare: ReserveShare;
  /** `undefined` until the store lists it, and then until no more routers appear. */
  origin: RouterOrigin | undefined;
  /** When the store lists it, milliseconds. */
  readonly listedAt: number;
  isListed: boolean;
  /** Routers in the list that it has read last. */
  knownRouters: number;
  /** The routers that it counts while its origin isn't known. */
  readonly routerCount: StableCount;
}

/** A router's name; its processes come and go. */
interface RouterName {
  process: RouterProcess | undefined;
  /** Until when the balancer sends it no callers, milliseconds. */
  outUntil: number;
  /** When the store lists its first process, milliseconds. */
  readonly firstListedAt: number;
}

interface ScheduledChange {
  readonly at: number;
  readonly change: () => void;
}

/** Requests and retries of each step. */
interface Records {
  readonly requests: number[];
  readonly retries: number[];
}

const sumsOf = (counts: readonly number[]): readonly number[] => {
  const sums = [0];
  for (const count of counts) sums.push((sums.at(-1) ?? 0) + count);
  return sums;
};

const measure = (
  { requests, retries }: Records,
  budget: RetryBudget,
  failsFrom: number,
): Omit<FleetOutcome, "asked" | "denied"> => {
  const window = Math.round(budget.retryWindow / step);
  const requestSums = sumsOf(requests);
  const retrySums = sumsOf(retries);
  const between = (sums: readonly number[], from: number, until: number): number =>
    (sums[Math.max(0, Math.min(until, sums.length - 1))] ?? 0) - (sums[Math.max(0, from)] ?? 0);
  const allowedFrom = (start: number): number =>
    allowedRepeats(start * step, (from) => between(requestSums, from / step, from / step + window), budget);
  const starts = requests.map((_, index) => index);
  const worstWindow = Math.max(
    ...starts.map((start) => between(retrySums, start, start + window) / allowedFrom(start)),
  );
  const first = Math.round(failsFrom / step);
  const firstSecond = between(retrySums, first, first + 1_000 / step) / allowedFrom(first - window);
  const failing = requests.length - first;
  const sustained =
    between(retrySums, first, requests.length) / (allowedFrom(first - window) * (failing / window));
  return { worstWindow, firstSecond, sustained };
};

/** @returns The retries of a router that takes all that it is granted. */
const takeAll = (allowance: Allowance): number => {
  let taken = 0;
  while (taken < maxTakenPerStep && allowance.tryTake(service)) taken += 1;
  return taken;
};

/** The retries that requests need while some attempts fail. */
const createDemand = ({ episodes, failsFrom }: FleetHistory, random: Random) => {
  const outcome = { asked: 0, denied: 0 };

  const isFailing = (now: number): boolean => {
    if (episodes === undefined || now < failsFrom) return false;
    return (now - failsFrom) % episodes.interval < episodes.duration && random.uniform() < episodes.share;
  };

  return {
    outcome,
    /** @returns How many retries one request is granted. */
    countRetries: (allowance: Allowance, now: number): number => {
      for (let granted = 0; granted < maxRetries; granted += 1) {
        if (!isFailing(now)) return granted;
        outcome.asked += 1;
        if (!allowance.tryTake(service)) {
          outcome.denied += 1;
          return granted;
        }
      }
      return maxRetries;
    },
  };
};

/** Plays a history with one design. */
export const playFleet = (
  history: FleetHistory,
  budget: RetryBudget,
  createAllowance: AllowanceFactory,
  random: Random,
): FleetOutcome => {
  let now = 0;
  const clock: Clock = { monotonic: () => now, wall: () => now, after: () => () => undefined };
  const names: RouterName[] = [];
  const scheduled: ScheduledChange[] = [];
  const records: Records = { requests: [], retries: [] };
  let surgeUntil = 0;
  let isBootstrapped = false;

  /** Dead routers count as well: they may return. */
  const countListedAt = (time: number): number =>
    names.filter(({ firstListedAt }) => firstListedAt <= time).length;

  const countRouters = ({ isListed, knownRouters }: RouterProcess): number =>
    isListed ? Math.max(knownRouters, countListedAt(now - countingDelay)) : 1;

  const start = (name: RouterName, origin: RouterOrigin | undefined): void => {
    const reserveShare = createReserveShare({
      clock,
      window: budget.retryWindow,
      countRouters: () => countRouters(process),
    });
    const process: RouterProcess = {
      allowance: createAllowance(clock, budget, reserveShare),
      reserveShare,
      origin,
      listedAt: now + listingDelay,
      isListed: false,
      knownRouters: 1,
      routerCount: createStableCount(clock, bootstrapPause),
    };
    name.process = process;
  };

  const readList = (process: RouterProcess): void => {
    process.isListed = true;
    process.knownRouters = countListedAt(now);
    if (process.origin !== undefined) isBootstrapped = true;
    process.reserveShare.noteListing(process.origin);
  };

  const register = (process: RouterProcess): void => {
    if (isBootstrapped) process.origin ??= "join";
    readList(process);
  };

  const bootstrap = (process: RouterProcess): void => {
    process.routerCount.note(countRouters(process));
    if (!process.reserveShare.wasShort() && !process.routerCount.isStable()) return;
    process.origin = "bootstrap";
    readList(process);
  };

  const addRouter = (): void => {
    const name: RouterName = { process: undefined, outUntil: 0, firstListedAt: now + listingDelay };
    names.push(name);
    start(name, undefined);
  };

  const schedule = (delay: number, change: () => void): void => {
    scheduled.push({ at: now + delay, change });
  };

  const apply = ({ kind, duration, first, share }: FleetEvent): void => {
    if (kind === "surge") {
      surgeUntil = now + duration;
      return;
    }
    const count = Math.round(share * history.routers);
    if (kind === "join") {
      for (let index = 0; index < count; index += 1) addRouter();
      return;
    }
    const begin = Math.floor(first * names.length);
    const affected = Array.from({ length: Math.min(count, names.length) }, (_, index) =>
      names.at((begin + index) % names.length),
    ).filter((name) => name !== undefined);
    for (const name of affected) {
      if (kind === "leave" || kind === "drain") name.outUntil = now + duration;
      if (kind === "leave") continue;
      const died = name.process;
      const end = (): void => {
        if (name.process === died) name.process = undefined;
      };
      if (kind === "drain") schedule(duration * drainedAfter, end);
      else end();
      schedule(duration, () => {
        if (kind === "replace") addRouter();
        else if (name.process === undefined) start(name, "restart");
      });
    }
  };

  const runDue = (): void => {
    for (const due of scheduled.filter(({ at }) => at <= now)) {
      scheduled.splice(scheduled.indexOf(due), 1);
      due.change();
    }
    for (const { process } of names) {
      if (process === undefined || now < process.listedAt) continue;
      if (!process.isListed) register(process);
      else if (process.origin === undefined) bootstrap(process);
    }
  };

  for (let index = 0; index < history.routers; index += 1)
    schedule(history.start.at + (index * history.start.spread) / history.routers, addRouter);
  for (const event of history.events) schedule(event.at, () => apply(event));

  const demand = createDemand(history, random);

  let carry = 0;
  for (now = Math.min(0, history.start.at); now < history.duration; now += step) {
    runDue();
    if (now < 0) continue;
    carry += (history.requestsPerSecond * (now < surgeUntil ? surgeFactor : 1) * step) / 1_000;
    const requests = Math.floor(carry);
    carry -= requests;
    const alive = names.filter(({ process }) => process !== undefined);
    const inRotation = alive.filter(({ outUntil }) => outUntil <= now);
    const targets = inRotation.length > 0 ? inRotation : alive;
    let retries = 0;
    for (let index = 0; index < requests; index += 1) {
      const process = targets[random.index(targets.length)]?.process;
      if (process === undefined) continue;
      process.allowance.noteRequest(service);
      retries += demand.countRetries(process.allowance, now);
    }
    if (history.episodes === undefined && now >= history.failsFrom)
      for (const { process } of alive) if (process !== undefined) retries += takeAll(process.allowance);
    records.requests.push(targets.length > 0 ? requests : 0);
    records.retries.push(retries);
  }
  return { ...measure(records, budget, history.failsFrom), ...demand.outcome };
};
