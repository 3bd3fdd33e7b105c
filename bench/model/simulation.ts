/** Runs one placement policy over a mix of requests and a scenario in simulated time, with one random seed. */
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

/** How load reports reach routers. Times are milliseconds. */
export interface ReportParameters {
  readonly interval: number;
  /** From taking the report at the engine to its arrival at the routers. */
  readonly lag: number;
  /** Share of the reports that each router misses, 0 to 1. */
  readonly loss: number;
}

/** Faults that a scenario can inject into a run. */
export interface Faults {
  readonly crashEngine: (index: number) => void;
  readonly restartEngine: (index: number) => void;
  /** All routers lose their cached state; requests in progress continue. */
  readonly restartRouters: () => void;
  /** Partitions a data centre from all others until {@link Faults.heal}. */
  readonly cutOff: (dataCentre: string) => void;
  readonly heal: () => void;
}

/** A fault at a simulated time, milliseconds. */
export interface TimedFault {
  readonly at: number;
  readonly apply: (faults: Faults, mix: Mix) => void;
}

/** Parameters of one run. Times are simulated milliseconds; the optional fields come from the scenario. */
export interface SimulationParameters {
  readonly mix: Mix;
  readonly policy: Policy;
  readonly seed: number;
  readonly duration: number;
  /** Share of all engines' prefill time that is used if every shared level is cached, 0 to 1. */
  readonly utilisation: number;
  readonly reports: ReportParameters;
  readonly hotShiftAt?: number;
  readonly flood?: Flood;
  readonly faults?: readonly TimedFault[];
}

/** Result of a run. */
export interface SimulationResult {
  readonly records: readonly RequestRecord[];
  /** Share of the engines' time spent on prefill after the warm-up, 0 to 1. */
  readonly prefillShare: number;
}

interface Routers {
  readonly all: readonly RouterModel[];
  readonly get: (index: number) => RouterModel;
  readonly restart: () => void;
}

/** Time for requests in progress to finish after the last arrival, simulated milliseconds. */
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
    const routerContext = { name, dataCentre, clock, directory, seed: seed * count + router, fleet };
    const scheduler = policy.createScheduler({
      ...routerContext,
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

/** Advances the clock from timer to timer, and lets promises settle after each. */
const runUntil = async (clock: ManualClock, end: number): Promise<void> => {
  for (let at = clock.nextTimer(); at !== undefined && at <= end; at = clock.nextTimer()) {
    clock.advanceTo(at);
    await macrotask();
  }
  clock.advanceTo(end);
};

/** Schedules every request at its arrival time. @returns Unexpected errors, which are added while the run goes on. */
const scheduleArrivals = (
  records: readonly RequestRecord[],
  environment: RequestEnvironment,
  routers: Routers,
): readonly unknown[] => {
  const unexpectedErrors: unknown[] = [];
  records.forEach((record, sequence) => {
    const { arrival } = record;
    environment.clock.after(arrival.at, () => {
      const router = routers.get(arrival.router);
      runRequest(environment, router, arrival, record, sequence).catch((error: unknown) => {
        unexpectedErrors.push(error);
      });
    });
  });
  return unexpectedErrors;
};

/**
 * Runs one simulation.
 *
 * @throws AggregateError if simulated requests threw unexpected errors.
 */
export const runSimulation = async (parameters: SimulationParameters): Promise<SimulationResult> => {
  const { mix, duration, faults = [] } = parameters;
  const clock = createManualClock();
  const fleet = createFleet(mix, clock);
  const routers = createRouters(parameters, clock, fleet);
  const openAttempts = new Set<OpenAttempt>();
  const index = createConfigurationIndex(1, mix.configuration);

  const arrivals = createArrivals({ ...parameters, routers: routers.all.length });
  const records = arrivals.map(newRecord);
  const unexpectedErrors = scheduleArrivals(records, { clock, fleet, index, openAttempts }, routers);
  startReports(parameters, clock, fleet, routers);
  const faultControls = createFaults(clock, fleet, routers, openAttempts);
  for (const { at, apply } of faults) clock.after(at, () => apply(faultControls, mix));

  const prefillTime = (): number => fleet.engines.reduce((sum, engine) => sum + engine.prefillTime(), 0);
  await runUntil(clock, warmUp);
  const before = prefillTime();
  await runUntil(clock, duration);
  const prefillShare = (prefillTime() - before) / (fleet.engines.length * (duration - warmUp));
  await runUntil(clock, duration + drainTime);
  if (unexpectedErrors.length > 0)
    throw new AggregateError(unexpectedErrors, "Simulated requests threw unexpected errors.");
  for (const record of records) record.endedAfter ??= clock.monotonic() - record.arrival.at;
  return { records, prefillShare };
};
