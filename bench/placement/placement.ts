/** `npm run bench -- placement`: policies compared on both deployments' mixes, under load and faults. */
import { warmUp } from "../model/constants.ts";
import { createMixes } from "../model/mixes.ts";
import type { Mix } from "../model/mixes.ts";
import { scenarios } from "../model/scenarios.ts";
import type { Scenario } from "../model/scenarios.ts";
import { checkExpectations } from "./expectations.ts";
import type { Expectation } from "./expectations.ts";
import type { PolicyRuns, RunPlan } from "./runs.ts";
import { writePlacementPage } from "./page.ts";
import type { MixRuns } from "./page.ts";
import { runPolicyTasks } from "./threads.ts";
import { expectationRows, fairnessRows, scenarioRows } from "./tables.ts";
import { policies, policyNames } from "../policies/policies.ts";
import { formatTable } from "../report/table.ts";
import type { Bench, BenchOptions } from "../types.ts";

/** Simulated milliseconds that are measured in one run. */
const measuredTime = { usual: 24_000, quick: 17_000 } as const;

const createPlan = ({ quick, seeds }: BenchOptions): RunPlan => ({
  seeds: quick ? seeds.slice(0, 1) : seeds,
  duration: warmUp + (quick ? measuredTime.quick : measuredTime.usual),
});

const expectationsOf = (mix: Mix, runs: readonly PolicyRuns[]): readonly Expectation[] => {
  const find = (name: string): PolicyRuns | undefined => runs.find(({ policy }) => policy === name);
  const ours = find(policyNames.ours);
  const steadyOf = (of: PolicyRuns | undefined) => of?.runs.get(scenarios.steady.name)?.figures;
  const quietOf = (of: PolicyRuns | undefined) => of?.runs.get(scenarios.quiet.name)?.figures;
  const quietOurs = quietOf(ours);
  const quietLeastLoaded = quietOf(find(policyNames.leastLoaded));
  const steady = steadyOf(ours);
  const leastLoaded = steadyOf(find(policyNames.leastLoaded));
  const omniscient = steadyOf(find(policyNames.omniscient));
  if (ours === undefined || steady === undefined || !leastLoaded || !omniscient) return [];
  if (quietOurs === undefined || quietLeastLoaded === undefined) return [];
  const isInteractive = (className: string): boolean =>
    mix.configuration.classes.some(({ name, kind }) => name === className && kind === "interactive");
  return checkExpectations({
    mix: mix.name,
    watchedClass: mix.primaryClass,
    interactiveClasses: mix.classes.map(({ className }) => className).filter(isInteractive),
    ours: steady,
    leastLoaded,
    omniscient,
    quiet: { ours: quietOurs, leastLoaded: quietLeastLoaded },
    shiftRecovery: ours.runs.get(scenarios.hotShift.name)?.recovery ?? NaN,
    rivalsBefore: ours.rivalsBefore,
    rivalsDuring: ours.rivalsDuring,
  });
};

/** @param only - Policies to run, by name; all if there are none. */
const measureMixes = async (plan: RunPlan, only: readonly string[]): Promise<readonly MixRuns[]> => {
  const mixes = createMixes();
  const chosen = policies.filter(({ name }) => only.length === 0 || only.includes(name));
  const tasks = mixes.flatMap((mix) =>
    chosen.map((policy) => ({ mix: mix.name, policy: policy.name, plan })),
  );
  const results = await runPolicyTasks(tasks);
  return mixes.map((mix) => {
    const runs = results.filter((_, index) => tasks[index]?.mix === mix.name);
    return { mix, policies: runs, expectations: expectationsOf(mix, runs) };
  });
};

const describeRun = ({ mix, policies: runs, expectations }: MixRuns): object => ({
  mix: mix.name,
  utilisation: mix.utilisation,
  policies: runs.map(({ policy, runs: byScenario, rivalsBefore, rivalsDuring }) => ({
    policy,
    scenarios: Object.fromEntries(
      [...byScenario].map(([name, { figures, recovery }]) => [name, { ...figures, recovery }]),
    ),
    rivalsBefore,
    rivalsDuring,
  })),
  expectations,
});

const printMix = ({ mix, policies: runs, expectations }: MixRuns): void => {
  console.log(`\n# ${mix.name}: usual load ${mix.utilisation} of prompt computing time at perfect caching`);
  for (const { name, summary } of Object.values(scenarios) as readonly Scenario[]) {
    console.log(`\n## ${name}: ${summary}\n${formatTable(scenarioRows(mix, runs, name))}`);
  }
  console.log(`\n## rivals of a flooding organisation\n${formatTable(fairnessRows(mix, runs))}`);
  if (expectations.length > 0) console.log(`\n${formatTable(expectationRows(expectations))}`);
};

const run = async (options: BenchOptions): Promise<void> => {
  const plan = createPlan(options);
  const measured = await measureMixes(plan, options.only);
  const how = `seeds ${plan.seeds.join(", ")}, ${(plan.duration - warmUp) / 1000} s measured in each run`;
  if (options.write) writePlacementPage(measured, how);
  if (options.json) {
    console.log(JSON.stringify({ bench: "placement", ...plan, mixes: measured.map(describeRun) }));
    return;
  }
  console.log(how);
  measured.forEach(printMix);
};

/** Placement policies against each other. */
export const placementBench: Bench = {
  name: "placement",
  summary: "hit rate, TTFT, wasted recomputation by policy, mix and fault (simulated time)",
  run,
};
