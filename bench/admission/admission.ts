/** `npm run bench -- admission`: what is refused, when, and at whose cost, when more comes than can be done. */
import { warmUp } from "../model/constants.ts";
import { createMixes } from "../model/mixes.ts";
import type { Mix } from "../model/mixes.ts";
import { usualReports } from "../model/scenarios.ts";
import { runSimulation } from "../model/simulation.ts";
import type { SimulationResult } from "../model/simulation.ts";
import { policies, policyNames } from "../policies/policies.ts";
import type { Policy } from "../policies/Policy.ts";
import { formatMilliseconds, formatShare, formatTable } from "../report/table.ts";
import type { Row } from "../report/table.ts";
import type { Bench, BenchOptions } from "../types.ts";
import { classOutcomes, organisationOutcomes } from "./measures.ts";
import type { ClassOutcome, OrganisationOutcome } from "./measures.ts";
import { admissionScenarios } from "./scenarios.ts";
import type { AdmissionScenario } from "./scenarios.ts";

/** Simulated milliseconds that are measured in one run. */
const measuredTime = { usual: 15_000, quick: 8000 } as const;

/** One policy in one scenario of one mix. */
interface AdmissionRun {
  readonly mix: string;
  readonly scenario: string;
  readonly summary: string;
  readonly policy: string;
  readonly classes: readonly ClassOutcome[];
  readonly organisations: readonly OrganisationOutcome[];
}

const comparedPolicies = (only: readonly string[]): readonly Policy[] => {
  const names: readonly string[] = only.length > 0 ? only : [policyNames.leastLoaded, policyNames.ours];
  return policies.filter(({ name }) => names.includes(name));
};

const runScenario = async (
  mix: Mix,
  policy: Policy,
  scenario: AdmissionScenario,
  seeds: readonly number[],
  duration: number,
): Promise<AdmissionRun> => {
  const { flood, faults, name, summary } = scenario;
  const results: SimulationResult[] = [];
  for (const seed of seeds) {
    const result = await runSimulation({
      mix,
      policy,
      seed,
      duration,
      utilisation: mix.utilisation,
      reports: usualReports,
      ...(flood === undefined ? {} : { flood: flood(mix) }),
      ...(faults === undefined ? {} : { faults }),
    });
    results.push(result);
  }
  return {
    mix: mix.name,
    scenario: name,
    summary,
    policy: policy.name,
    classes: classOutcomes(results, mix, duration),
    organisations: organisationOutcomes(results, mix, duration),
  };
};

const classRows = (runs: readonly AdmissionRun[]): readonly Row[] => [
  [
    "policy",
    "class",
    "offered/s",
    "in time %",
    "late %",
    "refused %",
    "unanswered %",
    "p99 of answered ms",
    "hopeless before refusal p99 ms",
  ],
  ...runs.flatMap(({ policy, classes }) =>
    classes.map((item) => [
      policy,
      item.className,
      item.perSecond.toFixed(1),
      formatShare(item.inTime),
      formatShare(item.late),
      formatShare(item.refused),
      formatShare(item.unanswered),
      formatMilliseconds(item.p99),
      formatMilliseconds(item.hopelessFor),
    ]),
  ),
];

const organisationRows = (runs: readonly AdmissionRun[]): readonly Row[] => [
  [
    "policy",
    "organisation",
    "standing",
    "offered/s",
    "most admitted in 1 s",
    "limit/s",
    "most at once",
    "limit",
    "in time %",
    "refused %",
  ],
  ...runs.flatMap(({ policy, organisations }) =>
    organisations.map((item) => [
      policy,
      item.organisation,
      String(item.standing),
      item.offeredPerSecond.toFixed(1),
      String(item.mostAdmittedPerSecond),
      String(item.limitPerSecond),
      String(item.mostConcurrent),
      String(item.limitConcurrent),
      formatShare(item.inTime),
      formatShare(item.refused),
    ]),
  ),
];

const printScenario = (runs: readonly AdmissionRun[]): void => {
  const [first] = runs;
  if (first === undefined) return;
  console.log(`\n# ${first.mix}, ${first.scenario}: ${first.summary}\n${formatTable(classRows(runs))}`);
  console.log(`\n${formatTable(organisationRows(runs))}`);
};

const run = async ({ json, quick, seeds, only }: BenchOptions): Promise<void> => {
  const usedSeeds = quick ? seeds.slice(0, 1) : seeds;
  const duration = warmUp + (quick ? measuredTime.quick : measuredTime.usual);
  const all: AdmissionRun[] = [];
  if (!json)
    console.log(`seeds ${usedSeeds.join(", ")}; ${(duration - warmUp) / 1000} s measured in each run`);
  for (const usual of createMixes()) {
    for (const scenario of admissionScenarios) {
      const mix = scenario.changeMix(usual);
      if (mix === undefined) continue;
      const runs: AdmissionRun[] = [];
      for (const policy of comparedPolicies(only)) {
        runs.push(await runScenario(mix, policy, scenario, usedSeeds, duration));
      }
      all.push(...runs);
      if (!json) printScenario(runs);
    }
  }
  if (json) console.log(JSON.stringify({ bench: "admission", seeds: usedSeeds, duration, runs: all }));
};

/** Admission under overload and floods. */
export const admissionBench: Bench = {
  name: "admission",
  summary: "refusals, limits and fairness under overload, floods and batch surges (simulated time)",
  run,
};
