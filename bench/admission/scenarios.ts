/** What the admission bench puts routers through. */
import { warmUp } from "../model/constants.ts";
import { withSurge } from "../model/mixes.ts";
import type { Mix } from "../model/mixes.ts";
import { scenarios as placementScenarios } from "../model/scenarios.ts";
import type { TimedFault } from "../model/simulation.ts";
import type { Flood } from "../model/arrivals.ts";

/** One scenario of the admission bench. */
export interface AdmissionScenario {
  readonly name: string;
  readonly summary: string;
  /** The mix as it comes in this scenario; nothing where the scenario makes no sense for it. */
  readonly changeMix: (mix: Mix) => Mix | undefined;
  readonly flood?: (mix: Mix) => Flood;
  readonly faults?: readonly TimedFault[];
}

/** Of all prompt computing time at perfect caching. */
const overload = 1.5;

const batchFactor = 6;

const unchanged = (mix: Mix): Mix => mix;

const cutOffWhole: TimedFault = {
  at: warmUp,
  apply: (faults, mix) => faults.cutOff(mix.configuration.dataCentres[0]?.name ?? ""),
};

export const admissionScenarios: readonly AdmissionScenario[] = [
  {
    name: "overload",
    summary: `${overload} times what all engines can compute at perfect caching`,
    changeMix: (mix) => ({ ...mix, utilisation: overload }),
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
    faults: [cutOffWhole],
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
