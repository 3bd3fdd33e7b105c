/** The interface of the placement policies that the benches compare. */
import type { Clock } from "../../src/coordination/clock.ts";
import type { ConfigurationIndex } from "../../src/coordination/configurationIndex.ts";
import type { Scheduler } from "../../src/coordination/scheduling/Scheduler.ts";
import type { EngineDirectory } from "../../src/state/engineDirectory.ts";
import type { Fleet } from "../model/fleet.ts";

/** Dependencies of one router's scheduler. */
export interface SchedulerDependencies {
  readonly name: string;
  readonly dataCentre: string;
  readonly clock: Clock;
  readonly directory: EngineDirectory;
  readonly configuration: () => ConfigurationIndex;
  /** Number of live routers known to this one, itself included. */
  readonly liveRouters: () => number;
  readonly seed: number;
  /** The actual state of all engines; only the omniscient policy may use it. */
  readonly fleet: Fleet;
}

/** A named way to choose an engine for a request. */
export interface Policy {
  readonly name: string;
  readonly createScheduler: (dependencies: SchedulerDependencies) => Scheduler;
}
