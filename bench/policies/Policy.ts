/** What the bench compares: ways to choose an engine. */
import type { Clock } from "../../src/coordination/clock.ts";
import type { ConfigurationIndex } from "../../src/coordination/configurationIndex.ts";
import type { Scheduler } from "../../src/coordination/scheduling/Scheduler.ts";
import type { EngineDirectory } from "../../src/state/engineDirectory.ts";
import type { Fleet } from "../model/fleet.ts";

/** What one router's scheduler is given. */
export interface SchedulerDependencies {
  readonly name: string;
  readonly dataCentre: string;
  readonly clock: Clock;
  readonly directory: EngineDirectory;
  readonly configuration: () => ConfigurationIndex;
  /** Routers that this one knows to be alive, itself included. */
  readonly liveRouters: () => number;
  readonly seed: number;
  /** The truth about all engines; only the omniscient bound may look. */
  readonly fleet: Fleet;
}

/** A way to choose. */
export interface Policy {
  readonly name: string;
  readonly createScheduler: (seat: SchedulerDependencies) => Scheduler;
}
