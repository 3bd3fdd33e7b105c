/** One run in simulated time: a policy, a mix, a scenario, a random seed. */
import { setImmediate as macrotask } from "node:timers/promises";
import { createConfigurationIndex } from "../../src/coordination/configurationIndex.ts";
import { createManualClock } from "../../src/coordination/manualClock.ts";
import type { ManualClock } from "../../src/coordination/manualClock.ts";
import { createEngineDirectory } from "../../src/state/engineDirectory.ts";
import type { Policy } from "../policies/Policy.ts";
import { createArrivals } from "./arrivals.ts";
import type { Flood } from "./arrivals.ts";
import { unreachableTimeout, warmUp } from "./constants.ts";
import { createFleet } from "./fleet.ts";
import type { Fleet } from "./fleet.ts";
import type { Mix } from "./mixes.ts";
import { createRandom } from "./random.ts";
import { runRequest } from "./runRequest.ts";
import type { OpenAttempt, RequestEnvironment, RouterModel } from "./runRequest.ts";
import type { Arrival, RequestRecord } from "./types.ts";

/** How load reports reach routers. Milliseconds. */
export interface ReportParameters {
  readonly interval: number;
  /** From the moment that a report tells of to its arrival. */
  readonly lag: number;
  /** Part of the reports that each router misses. */
  readonly loss: number;
}

/** What a scenario can do to a run. */
export interface Faults {
  readonly crashEngine: (index: number) => void;
  readonly restartEngine: (index: number) => void;
  /** All routers lose what they believe; work under way goes on. */
  readonly restartRouters: () => void;
  readonly cutOff: (dataCentre: string) => void;
  readonly heal: () => void;
}

/** A fault at a simulated time, milliseconds. */
export interface TimedFault {
  readonly at: number;
  readonly apply: (faults: Faults, mix: Mix) => void;
}

/** What a run is made of. */
export interface SimulationParameters {
  readonly mix: Mix;
  readonly policy: Policy;
  readonly seed: number;
  readonly duration: number;
  readonly utilisation: number;
  readonly reports: ReportParameters;
  readonly hotShiftAt?: number;
  readonly flood?: Flood;
  readonly faults?: readonly TimedFault[];
}

/** What came of a run. */
export interface SimulationResult {
  readonly records: readonly RequestRecord[];
  /** Part of the engines' time spent on computing prompts, warm-up left out. */
  readonly prefillShare: number;
}

interface Routers {
  readonly all: readonly RouterModel[];
  readonly get: (index: number) => RouterModel;
  readonly restart: () => void;
}

/** Time that requests under way at the end of arrivals are given to finish, simulated milliseconds. */
const drainTime = 4000;

const createRouters = (parameters: SimulationParameters, clock: ManualClock, fleet: Fleet): Routers => {
  const { mix, policy, seed } = parameters;
  const index = createConfigurationIndex(1, mix.configuration);
  const dataCentres = mix.configuration.dataCentres.map(({ name }) => name);
  const count = dataCentres.length * mix.routersPerDataCentre;

  const start = (router: number): RouterModel => {
    const dataCentre = dataCentres[router % dataCentres.length] ?? "";
    const directory = createEngineDirectory();
    directory.applyVms(fleet.vms);
    for (const engine of fleet.engines) {
      if (engine.isUp()) directory.applyLoad(engine.id, engine.load(), clock.monotonic());
    }
    const name = `router-${router}`;
    const seat = { name, dataCentre, clock, directory, seed: seed * count + router, fleet };
    const scheduler = policy.createScheduler({
      ...seat,
      configuration: () => index,
      liveRouters: () => count,
    });
    return { dataCentre, scheduler, directory };
  };

  const all = Array.from({ length: count }, (_, router) => start(router));
  return {
    all,
    get: (router) => all[router] ?? start(router),
    restart: () => all.forEach((_, router) => (all[router] = start(router))),
  };
};

const startReports = (
  { reports, seed }: SimulationParameters,
  clock: ManualClock,
  fleet: Fleet,
  routers: Routers,
): void => {
  const random = createRandom(seed, "reports");
  fleet.engines.forEach((engine, index) => {
    const report = (): void => {
      clock.after(reports.interval, report);
      if (!engine.isUp()) return;
      const load = engine.load();
      clock.after(reports.lag, () => {
        for (const { directory, dataCentre } of routers.all) {
          const lost = random.uniform() < reports.loss || !fleet.canReach(dataCentre, engine.dataCentre);
          if (!lost) directory.applyLoad(engine.id, load, clock.monotonic());
        }
      });
    };
    clock.after((reports.interval * index) / fleet.engines.length, report);
  });
};

const createFaults = (
  clock: ManualClock,
  fleet: Fleet,
  routers: Routers,
  openAttempts: ReadonlySet<OpenAttempt>,
): Faults => ({
  crashEngine: (index) => fleet.engines[index]?.crash(),
  restartEngine: (index) => fleet.engines[index]?.restart(),
  restartRouters: routers.restart,
  cutOff: (dataCentre) => {
    fleet.cutOff(dataCentre);
    const cut = [...openAttempts].filter(({ from, to }) => !fleet.canReach(from, to));
    clock.after(unreachableTimeout, () => {
      for (const attempt of cut) if (openAttempts.has(attempt)) attempt.fail();
    });
  },
  heal: () => fleet.cutOff(undefined),
});

const newRecord = (arrival: Arrival): RequestRecord => ({
  arrival,
  outcome: "open",
  firstTokenAfter: undefined,
  assignedAfter: undefined,
  endedAfter: undefined,
  attempts: 0,
  cachedAnywhereTokens: 0,
  startedTokens: 0,
  cachedTokens: 0,
  wastedTokens: 0,
});

/** Advances from timer to timer; promises settle in between. */
const runUntil = async (clock: ManualClock, end: number): Promise<void> => {
  for (let at = clock.nextTimer(); at !== undefined && at <= end; at = clock.nextTimer()) {
    clock.advanceTo(at);
    await macrotask();
  }
  clock.advanceTo(end);
};

/** Lets every request arrive at its time. @returns What requests threw that they should not have. */
const scheduleArrivals = (
  records: readonly RequestRecord[],
  surroundings: RequestEnvironment,
  routers: Routers,
): readonly unknown[] => {
  const thrown: unknown[] = [];
  records.forEach((record, sequence) => {
    const { arrival } = record;
    surroundings.clock.after(arrival.at, () => {
      const router = routers.get(arrival.router);
      runRequest(surroundings, router, arrival, record, sequence).catch((error: unknown) => {
        thrown.push(error);
      });
    });
  });
  return thrown;
};

/** Runs one simulation. */
export const runSimulation = async (parameters: SimulationParameters): Promise<SimulationResult> => {
  const { mix, duration, faults = [] } = parameters;
  const clock = createManualClock();
  const fleet = createFleet(mix, clock);
  const routers = createRouters(parameters, clock, fleet);
  const openAttempts = new Set<OpenAttempt>();
  const index = createConfigurationIndex(1, mix.configuration);

  const arrivals = createArrivals({ ...parameters, routers: routers.all.length });
  const records = arrivals.map(newRecord);
  const thrown = scheduleArrivals(records, { clock, fleet, index, openAttempts }, routers);
  startReports(parameters, clock, fleet, routers);
  const control = createFaults(clock, fleet, routers, openAttempts);
  for (const { at, apply: strike } of faults) clock.after(at, () => strike(control, mix));

  const prefillTime = (): number => fleet.engines.reduce((sum, engine) => sum + engine.prefillTime(), 0);
  await runUntil(clock, warmUp);
  const before = prefillTime();
  await runUntil(clock, duration);
  const prefillShare = (prefillTime() - before) / (fleet.engines.length * (duration - warmUp));
  await runUntil(clock, duration + drainTime);
  if (thrown.length > 0) throw new AggregateError(thrown, "Simulated requests threw.");
  for (const record of records) record.endedAfter ??= clock.monotonic() - record.arrival.at;
  return { records, prefillShare };
};
