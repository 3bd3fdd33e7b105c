/** Runs every policy through the scenarios of a mix, with several seeds. */
import { figuresOf, measuredRecords, percentilesOf } from "../model/figures.ts";
import type { Figures, RecordFilter } from "../model/figures.ts";
import type { Mix } from "../model/mixes.ts";
import { scenarios, usualReports } from "../model/scenarios.ts";
import type { Scenario } from "../model/scenarios.ts";
import { runSimulation } from "../model/simulation.ts";
import type { SimulationResult } from "../model/simulation.ts";
import type { Policy } from "../policies/Policy.ts";

/** One policy in one scenario. */
export interface ScenarioRun {
  readonly figures: Figures;
  /** From 3 s to 10 s after the strike: p99 of the watched class over that of the steady run. */
  readonly recovery: number | undefined;
}

/** One policy in all scenarios. */
export interface PolicyRuns {
  readonly policy: string;
  readonly runs: ReadonlyMap<string, ScenarioRun>;
  /** The requests of all but the flooding organisation, without and with the flood. */
  readonly rivalsBefore: Figures;
  readonly rivalsDuring: Figures;
}

/** How long and how often. */
export interface RunPlan {
  readonly seeds: readonly number[];
  /** Simulated milliseconds of a run, warm-up included. */
  readonly duration: number;
}

/** After a strike: when the system should have recovered, and until when it is looked at. */
const recoveryWindow = { from: 3000, until: 10_000 } as const;

const runScenario = async (
  mix: Mix,
  policy: Policy,
  scenario: Scenario,
  { seeds, duration }: RunPlan,
): Promise<readonly SimulationResult[]> => {
  const results: SimulationResult[] = [];
  for (const seed of seeds) {
    const { hotShiftAt, faults, flood } = scenario;
    const result = await runSimulation({
      mix,
      policy,
      seed,
      duration,
      utilisation: scenario.utilisation ?? mix.utilisation,
      reports: { ...usualReports, ...scenario.reports },
      ...(hotShiftAt === undefined ? {} : { hotShiftAt }),
      ...(faults === undefined ? {} : { faults }),
      ...(flood === undefined ? {} : { flood: flood(mix) }),
    });
    results.push(result);
  }
  return results;
};

const p99Within = (results: readonly SimulationResult[], mix: Mix, strikesAt: number): number => {
  const from = strikesAt + recoveryWindow.from;
  const until = strikesAt + recoveryWindow.until;
  const records = measuredRecords(results).filter(
    ({ arrival: { at, className } }) => className === mix.primaryClass && at >= from && at < until,
  );
  return percentilesOf(records).p99OfAll;
};

const recoveryOf = (
  { disturbedAt: strikesAt }: Scenario,
  results: readonly SimulationResult[],
  steady: readonly SimulationResult[],
  mix: Mix,
): number | undefined =>
  strikesAt === undefined
    ? undefined
    : p99Within(results, mix, strikesAt) / p99Within(steady, mix, strikesAt);

/** Runs one policy. */
export const runPolicy = async (mix: Mix, policy: Policy, plan: RunPlan): Promise<PolicyRuns> => {
  const flooding = scenarios.flood.flood(mix).organisation;
  const isRival: RecordFilter = ({ arrival }) => arrival.organisation !== flooding;
  const steady = await runScenario(mix, policy, scenarios.steady, plan);
  const rivalsBefore = figuresOf(steady, mix, plan.duration, isRival);
  let rivalsDuring = rivalsBefore;
  const runs = new Map<string, ScenarioRun>();
  for (const scenario of Object.values(scenarios) as readonly Scenario[]) {
    const isSteady = scenario.name === scenarios.steady.name;
    const results = isSteady ? steady : await runScenario(mix, policy, scenario, plan);
    const figures = figuresOf(results, mix, plan.duration);
    runs.set(scenario.name, { figures, recovery: recoveryOf(scenario, results, steady, mix) });
    if (scenario.flood !== undefined) rivalsDuring = figuresOf(results, mix, plan.duration, isRival);
  }
  return { policy: policy.name, runs, rivalsBefore, rivalsDuring };
};
