/** Histories of routers whose callers move while retries are pressed to the limit. */
import type { FailureEpisodes, FleetEvent, FleetHistory } from "./fleetModel.ts";

/** Milliseconds from the start: two windows of calm traffic and more, then every request fails. */
export const failsFrom = 22_000;
const duration = 46_000;

/** The routers have run for several windows. */
const longAgo = { at: -60_000, spread: 0 } as const;

/** A history with a name for tables. */
export interface NamedHistory {
  readonly name: string;
  readonly events: readonly FleetEvent[];
}

const event = (
  kind: FleetEvent["kind"],
  at: number,
  eventDuration: number,
  first: number,
  share: number,
): FleetEvent => ({ kind, at, duration: eventDuration, first, share });

const longer = duration;
const third = 1 / 3;

/** Single kinds of trouble, in series and overlapping. */
export const namedHistories: readonly NamedHistory[] = [
  { name: "callers stay", events: [] },
  { name: "half lose their callers", events: [event("leave", 23_000, longer, 0, 0.5)] },
  {
    name: "callers move to a third, then to the next",
    events: [
      event("leave", 23_000, 5_000, third, 2 * third),
      event("leave", 28_000, 5_000, 2 * third, 2 * third),
    ],
  },
  { name: "half are killed, and return after 1 s", events: [event("kill", 23_000, 1_000, 0, 0.5)] },
  { name: "half are replaced under new names", events: [event("replace", 23_000, 1_000, 0, 0.5)] },
  {
    name: "half as many join, and all before leave",
    events: [event("join", 21_000, 0, 0, 0.5), event("leave", 23_000, longer, 0, 0.66)],
  },
  {
    name: "drained in turn, a tenth each second",
    events: Array.from({ length: 10 }, (_, index) =>
      event("drain", 23_000 + 1_000 * index, 2_000, index / 10, 0.1),
    ),
  },
  {
    name: "killed in turn, a tenth each second",
    events: Array.from({ length: 10 }, (_, index) =>
      event("kill", 23_000 + 1_000 * index, 1_500, index / 10, 0.1),
    ),
  },
  {
    name: "a surge, then half are killed",
    events: [event("surge", 19_000, 3_000, 0, 0), event("kill", 23_000, 1_000, 0, 0.5)],
  },
  {
    name: "callers go back and forth",
    events: [0, 1, 2, 3, 4].map((index) =>
      event("leave", 23_000 + 5_000 * index, 5_000, index % 2 === 0 ? 0 : 0.5, 0.5),
    ),
  },
];

/** Two of eight replicas refuse all requests for a while, and two others later. */
const episodes: FailureEpisodes = { interval: 1_500, duration: 600, share: 0.25 };

/** Fleets in which some attempts fail: how many of the retries that they need are denied. */
export const partialFailures: readonly (NamedHistory & Pick<FleetHistory, "start" | "episodes">)[] = [
  { name: "routers have run for long", start: longAgo, events: [], episodes },
  { name: "all have just started", start: { at: failsFrom - 3_000, spread: 200 }, events: [], episodes },
  { name: "half as many join", start: longAgo, events: [event("join", 21_000, 0, 0, 0.5)], episodes },
];

/** @returns The history of a fleet. */
export const createHistory = (
  routers: number,
  requestsPerSecond: number,
  events: readonly FleetEvent[],
  start: FleetHistory["start"] = longAgo,
): FleetHistory => ({ routers, requestsPerSecond, start, failsFrom, duration, events });
