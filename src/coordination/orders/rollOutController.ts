/** Runs the roll-outs of one deployment while this router holds the deployment's lease. */
import { pause } from "../clock.ts";
import type { Lease } from "../leases/lease.ts";
import type { Tenure } from "../leases/types.ts";
import { phases } from "./constants.ts";
import { createEngineLoadCache } from "./engineLoadCache.ts";
import type { EngineLoadCacheDependencies } from "./engineLoadCache.ts";
import { createRollOut } from "./rollOut.ts";
import type { RollOut, RollOutDependencies } from "./rollOut.ts";
import type { EngineRollOutView, RollOutView } from "./types.ts";

const maxEnginesShown = 100;

/** Factor on the interval between passes while nothing has to be changed. */
const settledIntervalFactor = 4;

export interface RollOutControllerDependencies extends RollOutDependencies, EngineLoadCacheDependencies {
  readonly lease: Lease;
}

/** Runs until it is disposed; it does not dispose of the lease. */
export interface RollOutController extends AsyncDisposable {
  readonly view: () => RollOutView;
}

const countPhases = (engines: readonly EngineRollOutView[]): Readonly<Record<string, number>> => {
  const counts: Record<string, number> = {};
  for (const { phase } of engines) counts[phase] = (counts[phase] ?? 0) + 1;
  return counts;
};

/** Starts a controller that follows a deployment's lease. */
export const startRollOutController = (dependencies: RollOutControllerDependencies): RollOutController => {
  const { lease, clock } = dependencies;
  const stop = new AbortController();
  const loadCache = createEngineLoadCache(dependencies);
  let rollOut: RollOut | undefined;

  /** Ends the roll-out of a former tenure, and creates one for the current tenure. */
  const applyTenure = async (tenure: Tenure | undefined): Promise<void> => {
    if (rollOut !== undefined && rollOut.tenure.fencingNumber !== tenure?.fencingNumber) {
      const ended = rollOut;
      rollOut = undefined;
      await ended[Symbol.asyncDispose]();
    }
    if (tenure !== undefined) rollOut ??= createRollOut(dependencies, loadCache, tenure);
  };

  const run = async (): Promise<void> => {
    while (!stop.signal.aborted) {
      await applyTenure(lease.tenure());
      await rollOut?.pass();
      const isSettled = rollOut?.isSettled() === true;
      await pause(
        clock,
        isSettled ? dependencies.interval * settledIntervalFactor : dependencies.interval,
        stop.signal,
      );
    }
    await applyTenure(undefined);
  };
  const task = run();

  return {
    view: () => {
      const engines = rollOut?.view() ?? [];
      const tenure = lease.tenure();
      return {
        deployment: dependencies.deployment,
        holding: tenure !== undefined,
        fencingNumber: tenure?.fencingNumber ?? null,
        superseded: rollOut?.isSuperseded() ?? false,
        counts: countPhases(engines),
        engines: engines.filter(({ phase }) => phase !== phases.asDesired).slice(0, maxEnginesShown),
      };
    },
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await task;
    },
  };
};
