/** `npm run lab -- FILE [--json] [--only A,B] [--report FILE.svg]`: runs an experiment and compares its policies. */
import { parseArgs } from "node:util";
import { PomelocleatError, fileError } from "../../src/protocol/errors.ts";
import type { BarChart } from "../report/barChart.ts";
import { drawBarChart } from "../report/barChart.ts";
import { writeFile } from "../report/page.ts";
import type { Row } from "../report/table.ts";
import { formatTable } from "../report/table.ts";
import type { Experiment } from "./experiment.ts";
import { policyOf, readExperiment } from "./experiment.ts";
import type { LabFigures } from "./figures.ts";
import { figuresOf, spreadOf } from "./figures.ts";
import { runLab } from "./simulation.ts";

/** One policy's runs, a run for each seed. */
interface PolicyRuns {
  readonly policy: string;
  readonly runs: readonly LabFigures[];
  /** Of a run of the simulation, milliseconds: of use beside another policy or experiment only. */
  readonly processorTime: number;
}

const columns: readonly (keyof LabFigures)[] = [
  "worth",
  "worstWindow",
  "served",
  "inTime",
  "late",
  "refused",
  "failed",
  "firstTokenP99",
  "computed",
  "again",
  "copied",
  "preempted",
  "worstIntake",
  "afterDraining",
  "worstInBackoff",
  "recovered",
  "limitUse",
  "messages",
];

/** Figures from this size on are printed without decimals. */
const large = 10;

const format = (value: number): string => value.toFixed(value < large ? 3 : 0);

const runPolicies = async (
  experiment: Experiment,
  only: readonly string[],
): Promise<readonly PolicyRuns[]> => {
  const chosen = Object.entries(experiment.policies).filter(
    ([name]) => only.length === 0 || only.includes(name),
  );
  const compared: PolicyRuns[] = [];
  for (const [policy, changes] of chosen) {
    const runs: LabFigures[] = [];
    const before = process.cpuUsage();
    for (const seed of experiment.seeds) {
      if (process.stderr.isTTY) process.stderr.write(`\r${policy}, seed ${seed}        `);
      runs.push(figuresOf(await runLab(experiment, policyOf(changes), seed), experiment.warmUp));
    }
    const { user, system } = process.cpuUsage(before);
    const processorTime = (user + system) / microsecondsPerMillisecond / runs.length;
    compared.push({ policy, runs, processorTime });
  }
  if (process.stderr.isTTY) process.stderr.write("\r");
  return compared;
};

const tableOf = (compared: readonly PolicyRuns[]): readonly Row[] => [
  ["policy", ...columns, "processorTime"],
  ...compared.map(({ policy, runs, processorTime }) => [
    policy,
    ...columns.map((column) => {
      const { mean, deviation } = spreadOf(runs, column);
      return `${format(mean)} ±${format(deviation)}`;
    }),
    format(processorTime),
  ]),
];

const percent = 100;

const microsecondsPerMillisecond = 1_000;

const chartOf = ({ name }: Experiment, compared: readonly PolicyRuns[]): BarChart => {
  const drawn = ["worth", "worstWindow", "inTime"] as const;
  const colours = ["#2f6f4f", "#b35c1e", "#3b5b92"];
  return {
    title: name,
    unit: "%",
    series: drawn.map((figure, index) => ({ name: figure, colour: colours[index] ?? "grey" })),
    groups: compared.map(({ policy, runs }) => ({
      label: policy,
      values: drawn.map((figure) => spreadOf(runs, figure).mean * percent),
    })),
    maximum: percent,
  };
};

const checkNames = ({ policies }: Experiment, only: readonly string[], file: string): void => {
  const problems = only
    .filter((name) => policies[name] === undefined)
    .map((name) => ({ path: "policies", cause: `there is no policy "${name}"` }));
  if (problems.length > 0) throw fileError(file, problems);
};

const run = async (): Promise<void> => {
  const { values, positionals } = parseArgs({
    allowPositionals: true,
    options: {
      json: { type: "boolean", default: false },
      only: { type: "string", default: "" },
      report: { type: "string" },
    },
  });
  const [file] = positionals;
  if (file === undefined) throw fileError("command line", [{ path: "FILE", cause: "name an experiment" }]);
  const experiment = readExperiment(file);
  const only = values.only.split(",").filter((name) => name !== "");
  checkNames(experiment, only, file);
  const compared = await runPolicies(experiment, only);
  if (values.report !== undefined) writeFile(values.report, drawBarChart(chartOf(experiment, compared)));
  console.log(
    values.json
      ? JSON.stringify({ experiment: experiment.name, seeds: experiment.seeds, compared })
      : formatTable(tableOf(compared)),
  );
};

try {
  await run();
} catch (error) {
  if (!(error instanceof PomelocleatError)) throw error;
  console.error(error.message);
  process.exitCode = 1;
}
