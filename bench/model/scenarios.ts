/** What happens to a deployment during a run, the same for every policy. Times are simulated milliseconds. */
import type { Flood } from "./arrivals.ts";
import { warmUp } from "./constants.ts";
import type { Mix } from "./mixes.ts";
import type { ReportParameters, TimedFault } from "./simulation.ts";

/** One scenario. */
export interface Scenario {
  readonly name: string;
  readonly summary: string;
  /** Replaces the mix's usual utilisation. */
  readonly utilisation?: number;
  readonly reports?: Partial<ReportParameters>;
  readonly hotShiftAt?: number;
  readonly flood?: (mix: Mix) => Flood;
  readonly faults?: readonly TimedFault[];
  /** When it strikes, for scenarios from which a system recovers. */
  readonly disturbedAt?: number;
}

/** When something strikes, if it does. */
const strike = warmUp + 6000;

const crashDowntime = 2000;
const cutDuration = 10_000;

/** Far above its share, over more prefixes than any cache holds. */
const floodOf = ({ configuration }: Mix): Flood => ({
  organisation: configuration.organisations[3]?.name ?? "",
  from: warmUp,
  until: Infinity,
  factor: 12,
  subjects: 100,
});

/** Load reports as they usually come. */
export const usualReports: ReportParameters = { interval: 500, lag: 250, loss: 0 };

export const scenarios = {
  quiet: {
    name: "quiet",
    summary: "as little load as least-loaded placement can carry",
    utilisation: 0.05,
  },
  steady: { name: "steady", summary: "the mix's usual load, nothing fails" },
  hotShift: {
    name: "hot shift",
    summary: "the largest organisation turns to courses and seasons never seen before, at once",
    hotShiftAt: strike,
    disturbedAt: strike,
  },
  eventLoss: { name: "10 % event loss", summary: "a tenth of all reports is lost", reports: { loss: 0.1 } },
  loadLag: { name: "2 s load lag", summary: "load reports are two seconds old", reports: { lag: 2000 } },
  engineCrash: {
    name: "engine crash",
    summary: "one engine crashes and is back, empty, 2 s later",
    faults: [
      { at: strike, apply: (faults) => faults.crashEngine(0) },
      { at: strike + crashDowntime, apply: (faults) => faults.restartEngine(0) },
    ],
    disturbedAt: strike,
  },
  herdRestart: {
    name: "router herd restart",
    summary: "all routers lose what they believe at once",
    faults: [{ at: strike, apply: (faults) => faults.restartRouters() }],
    disturbedAt: strike,
  },
  cutOff: {
    name: "data centre cut off",
    summary: "one data centre reaches no other for 10 s; its routers get their share of callers all the time",
    faults: [
      {
        at: strike,
        apply: (faults, mix) => faults.cutOff(mix.configuration.dataCentres[0]?.name ?? ""),
      },
      { at: strike + cutDuration, apply: (faults) => faults.heal() },
    ],
    disturbedAt: strike,
  },
  flood: {
    name: "flooding rival",
    summary: "an organisation of small standing sends twelve times its rate over 100 prefixes",
    flood: floodOf,
  },
} as const satisfies Readonly<Record<string, Scenario>>;
