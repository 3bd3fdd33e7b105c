/** Scenarios of the admission bench. */
import { warmUp } from "../model/constants.ts";
import { withSurge } from "../model/mixes.ts";
import type { Mix } from "../model/mixes.ts";
import { scenarios as placementScenarios } from "../model/scenarios.ts";
import type { TimedFault } from "../model/simulation.ts";
import type { Flood } from "../model/arrivals.ts";

/** A change of load or a fault under which admission is compared. */
export interface AdmissionScenario {
  readonly name: string;
  readonly summary: string;
  /** @returns The mix with this scenario's load; `undefined` where the scenario does not apply to it. */
  readonly changeMix: (mix: Mix) => Mix | undefined;
  readonly flood?: (mix: Mix) => Flood;
  readonly faults?: readonly TimedFault[];
}

/** Offered load as a multiple of the prefill capacity at perfect caching. */
const overloadFactor = 1.5;

const batchFactor = 6;

const unchanged = (mix: Mix): Mix => mix;

const dataCentreCutOff: TimedFault = {
  at: warmUp,
  apply: (faults, mix) => faults.cutOff(mix.configuration.dataCentres[0]?.name ?? ""),
};

/** In the order in which they are run and printed. */
export const admissionScenarios: readonly AdmissionScenario[] = [
  {
    name: "overload",
    summary: `${overloadFactor} times what all engines can compute at perfect caching`,
    changeMix: (mix) => ({ ...mix, utilisation: overloadFactor }),
  },
  {
    name: "flooding rival",
    summary: placementScenarios.flood.summary,
    changeMix: unchanged,
    flood: placementScenarios.flood.flood,
  },
  {
    name: "flooding rival, one data centre cut off",
    summary: "the same while one data centre reaches no other",
    changeMix: unchanged,
    flood: placementScenarios.flood.flood,
    faults: [dataCentreCutOff],
  },
  {
    name: "batch surge",
    summary: `${batchFactor} times as many batch requests, interactive ones as usual`,
    changeMix: (mix) => {
      const batch = mix.configuration.classes.find(({ kind }) => kind === "batch");
      return batch === undefined ? undefined : withSurge(mix, batch.name, batchFactor);
    },
  },
];
