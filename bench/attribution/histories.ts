/** Drawn histories of crashes: which requests run where, when replicas crash, and what routers see of it. */
import type { Random } from "../model/random.ts";

/** A request, by the numbers of its shared parts. */
export interface DrawnRequest {
  readonly parts: readonly number[];
  readonly router: number;
}

/** Something that routers learn, in order of time (milliseconds). */
export type HistoryEvent =
  | {
      readonly kind: "crash";
      readonly at: number;
      readonly replica: string;
      readonly inFlight: readonly DrawnRequest[];
    }
  | { readonly kind: "answer"; readonly at: number; readonly request: DrawnRequest };

export interface HistorySettings {
  readonly name: string;
  readonly routers: number;
  readonly replicas: number;
  /** Requests that a replica runs at once. */
  readonly batch: number;
  /** Sound requests, and crashing ones, a second. */
  readonly soundRate: number;
  readonly crashingRate: number;
  /** The numbers of crashing parts; sound parts have other numbers. */
  readonly causes: readonly number[];
  /** Sound parts: openings are shared by many requests, subjects by few. */
  readonly openings: number;
  readonly subjects: number;
  /** Shared parts that only come together with a cause. */
  readonly companions: number;
  /** How long a crashed replica is away, milliseconds. */
  readonly restartTime: number;
  /** Replicas that are killed at once, several times, with no request as the cause. */
  readonly kills: number;
}

/** Time of sound traffic before the first crashing request, and of the history after it, milliseconds. */
export const historyTimes = { before: 2_000, storm: 6_000 } as const;

/** How long a sound request runs, and a crashing one until it crashes its replica, milliseconds. */
const runTimes = { sound: 500, crashing: 60 } as const;

/** Numbers of the parts: causes are below, openings, subjects and companions from here on. */
export const firstNumbers = { openings: 100, subjects: 1_000, companions: 100_000 } as const;

interface Running extends DrawnRequest {
  readonly replica: number;
  readonly endsAt: number;
  readonly isCrashing: boolean;
}

/** What a rule decides while a history is played. */
export interface Judge {
  readonly isBlocked: (request: DrawnRequest, at: number) => boolean;
  readonly observe: (event: HistoryEvent) => void;
}

export interface HistoryOutcome {
  /** Crashes by each cause until the last one with it. */
  readonly crashes: number;
  /** Requests with no cause that were blocked, as a share of all sound ones during the storm. */
  readonly soundBlocked: number;
}

const isCrashingPart = (settings: HistorySettings, part: number): boolean => settings.causes.includes(part);

/** Plays a history with a rule that decides which requests are sent. */
export const playHistory = (settings: HistorySettings, judge: Judge, random: Random): HistoryOutcome => {
  const upFrom = Array.from({ length: settings.replicas }, () => 0);
  const generations = Array.from({ length: settings.replicas }, () => 0);
  let running: Running[] = [];
  /** How many of them each replica runs. */
  const loads = Array.from({ length: settings.replicas }, () => 0);
  let crashes = 0;
  const sound = { sent: 0, blocked: 0 };
  const end = historyTimes.before + historyTimes.storm;

  const drawSound = (): readonly number[] => [
    firstNumbers.openings + Math.floor(settings.openings * random.uniform() ** 2),
    firstNumbers.subjects + random.index(settings.subjects),
  ];
  const drawCrashing = (): readonly number[] => {
    const cause = settings.causes[random.index(settings.causes.length)] ?? 0;
    const companions = Array.from(
      { length: settings.companions },
      (_, index) => firstNumbers.companions + index,
    );
    return [...drawSound().slice(0, 1), cause, ...companions];
  };

  const endReplica = (replica: number, at: number): void => {
    const inFlight = running.filter((each) => each.replica === replica);
    running = running.filter((each) => each.replica !== replica);
    loads[replica] = 0;
    upFrom[replica] = at + settings.restartTime;
    const generation = generations[replica] ?? 0;
    generations[replica] = generation + 1;
    judge.observe({ kind: "crash", at, replica: `${replica}.${generation}`, inFlight });
  };

  const advance = (until: number): void => {
    for (;;) {
      const next = running.reduce<Running | undefined>(
        (first, each) => (each.endsAt <= until && each.endsAt < (first?.endsAt ?? Infinity) ? each : first),
        undefined,
      );
      if (next === undefined) return;
      running.splice(running.indexOf(next), 1);
      if (next.isCrashing) {
        running.push(next);
        crashes += 1;
        endReplica(next.replica, next.endsAt);
      } else {
        loads[next.replica] = (loads[next.replica] ?? 0) - 1;
        judge.observe({ kind: "answer", at: next.endsAt, request: next });
      }
    }
  };

  const send = (parts: readonly number[], at: number): void => {
    const isCrashing = parts.some((part) => isCrashingPart(settings, part));
    const request: DrawnRequest = { parts, router: random.index(settings.routers) };
    const isBlocked = judge.isBlocked(request, at);
    if (!isCrashing && at >= historyTimes.before) {
      sound.sent += 1;
      if (isBlocked) sound.blocked += 1;
    }
    if (isBlocked) return;
    const open = upFrom
      .map((from, replica) => ({ replica, from }))
      .filter(({ replica, from }) => from <= at && (loads[replica] ?? 0) < settings.batch);
    const chosen = open[random.index(Math.max(1, open.length))];
    if (chosen === undefined) return;
    const time = isCrashing ? runTimes.crashing : runTimes.sound * (0.5 + random.uniform());
    loads[chosen.replica] = (loads[chosen.replica] ?? 0) + 1;
    running.push({ ...request, replica: chosen.replica, endsAt: at + time, isCrashing });
  };

  let nextSound = 0;
  let nextCrashing = settings.crashingRate === 0 ? Infinity : historyTimes.before;
  const kills = Array.from(
    { length: settings.kills === 0 ? 0 : 4 },
    (_, index) => historyTimes.before + index * 1_200,
  );
  for (;;) {
    const at = Math.min(nextSound, nextCrashing, kills[0] ?? Infinity);
    if (at >= end) break;
    advance(at);
    if (at === kills[0]) {
      kills.shift();
      for (let replica = 0; replica < settings.kills; replica += 1) endReplica(replica, at + replica);
    } else if (at === nextSound) {
      send(drawSound(), at);
      nextSound = at + random.exponential(1_000 / settings.soundRate);
    } else {
      send(drawCrashing(), at);
      nextCrashing = at + random.exponential(1_000 / settings.crashingRate);
    }
  }
  return { crashes, soundBlocked: sound.sent === 0 ? 0 : sound.blocked / sound.sent };
};
