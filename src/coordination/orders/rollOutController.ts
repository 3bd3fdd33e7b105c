/** One deployment's order holder: acts while this router has the deployment's lease. */
import { pause } from "../clock.ts";
import type { Lease } from "../leases/lease.ts";
import type { Tenure } from "../leases/types.ts";
import { phases } from "./constants.ts";
import { createEngineSurvey } from "./engineLoadCache.ts";
import type { EngineSurveyParts } from "./engineLoadCache.ts";
import { createRollOut } from "./rollOut.ts";
import type { RollOut, RollOutParts } from "./rollOut.ts";
import type { EngineRollOutView, RollOutView } from "./types.ts";

const mostEnginesShown = 100;

/** A deployment that has nothing to change is looked at more rarely. */
const settledFactor = 4;

/** What an order holder works with. */
export interface OrderHolderParts extends RollOutParts, EngineSurveyParts {
  readonly lease: Lease;
}

/** Runs until it is disposed of; the lease is not its own. */
export interface OrderHolder extends AsyncDisposable {
  readonly view: () => RollOutView;
}

const countPhases = (engines: readonly EngineRollOutView[]): Readonly<Record<string, number>> => {
  const counts: Record<string, number> = {};
  for (const { phase } of engines) counts[phase] = (counts[phase] ?? 0) + 1;
  return counts;
};

/** Starts to follow a deployment's lease. */
export const startOrderHolder = (parts: OrderHolderParts): OrderHolder => {
  const { lease, clock } = parts;
  const stop = new AbortController();
  const survey = createEngineSurvey(parts);
  let rollOut: RollOut | undefined;

  /** Every tenure has a roll-out of its own. */
  const follow = async (tenure: Tenure | undefined): Promise<void> => {
    if (rollOut !== undefined && rollOut.tenure.fencingNumber !== tenure?.fencingNumber) {
      const ended = rollOut;
      rollOut = undefined;
      await ended[Symbol.asyncDispose]();
    }
    if (tenure !== undefined) rollOut ??= createRollOut(parts, survey, tenure);
  };

  const run = async (): Promise<void> => {
    while (!stop.signal.aborted) {
      await follow(lease.tenure());
      await rollOut?.pass();
      const isSettled = rollOut?.isSettled() === true;
      await pause(clock, isSettled ? parts.interval * settledFactor : parts.interval, stop.signal);
    }
    await follow(undefined);
  };
  const task = run();

  return {
    view: () => {
      const engines = rollOut?.view() ?? [];
      const tenure = lease.tenure();
      return {
        deployment: parts.deployment,
        holding: tenure !== undefined,
        fencingNumber: tenure?.fencingNumber ?? null,
        superseded: rollOut?.isSuperseded() ?? false,
        counts: countPhases(engines),
        engines: engines.filter(({ phase }) => phase !== phases.asDesired).slice(0, mostEnginesShown),
      };
    },
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await task;
    },
  };
};
