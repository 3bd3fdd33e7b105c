/** `npm run lab -- FILE [--json] [--groups] [--only A,B] [--seeds 1,2] [--routers N] [--report FILE.svg]`: runs an experiment and compares its policies. */
import { parseArgs } from "node:util";
import { PomelocleatError, fileError } from "../../src/protocol/errors.ts";
import type { BarChart } from "../report/barChart.ts";
import { drawBarChart } from "../report/barChart.ts";
import { writeFile } from "../report/page.ts";
import type { Row } from "../report/table.ts";
import { formatTable } from "../report/table.ts";
import type { Experiment } from "./experiment.ts";
import { featuresOf, policyOf, readExperiment, windowsOf } from "./experiment.ts";
import type { EngineFigures, GroupFigures, LabFigures } from "./figures.ts";
import { engineFiguresOf, figuresOf, groupFiguresOf, spreadOf, usedCapacityOf } from "./figures.ts";
import { runLab } from "./simulation.ts";

/** Figures of one run that are printed in JSON and with `--groups`. */
interface RunDetails {
  readonly groups: readonly GroupFigures[];
  readonly engines: readonly EngineFigures[];
  /** Used capacity in each window. */
  readonly usedCapacity: readonly number[];
}

/** The runs of one policy, one for each seed. */
interface PolicyRuns {
  readonly policy: string;
  readonly runs: readonly LabFigures[];
  /** For each seed, figures by window, and in each window by request class, organisation and engine. */
  readonly details: readonly RunDetails[];
  /** Mean processor time of a run of the simulation, milliseconds; only meaningful in comparison with other runs. */
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
  "datagramRate",
  "byteRate",
  "refusalP95",
  "withoutRetryAfter",
  "refusedAgain",
  "paused",
  "usedCapacity",
];

/** Figures below this are printed with decimals. */
const decimalsBelow = 10;

const format = (value: number): string => value.toFixed(value < decimalsBelow ? 3 : 0);

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
    const details: RunDetails[] = [];
    const before = process.cpuUsage();
    for (const seed of experiment.seeds) {
      if (process.stderr.isTTY) process.stderr.write(`\r${policy}, seed ${seed}        `);
      const result = await runLab(experiment, policyOf(changes), seed, featuresOf(changes));
      runs.push(figuresOf(result, experiment));
      details.push({
        groups: groupFiguresOf(experiment, result),
        engines: engineFiguresOf(experiment, result),
        usedCapacity: usedCapacityOf(experiment, result),
      });
    }
    const { user, system } = process.cpuUsage(before);
    const processorTime = (user + system) / microsecondsPerMillisecond / runs.length;
    compared.push({ policy, runs, details, processorTime });
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

/** Formats the figures of the first seed by policy and window: requests by group and by engine, and used capacity. */
const formatGroups = (experiment: Experiment, compared: readonly PolicyRuns[]): string =>
  compared
    .flatMap(({ policy, details: [first] }) =>
      windowsOf(experiment).flatMap(({ name }, index) => {
        const groups = (first?.groups ?? []).filter(({ window }) => window === name);
        const received = (first?.engines ?? []).map(
          ({ speed, requests }) => `${requests[index] ?? 0} (${speed})`,
        );
        return [
          `${policy}, ${name}: used capacity ${format(first?.usedCapacity[index] ?? 0)}`,
          `requests per engine (speed): ${received.join(", ")}`,
          formatTable([
            ["group", "requests", ...groupColumns],
            ...groups.map((group) => [
              group.group,
              String(group.requests),
              ...groupColumns.map((column) => format(group[column])),
            ]),
          ]),
        ];
      }),
    )
    .join("\n");

const groupColumns = [
  "inTime",
  "late",
  "refused",
  "failed",
  "firstTokenP99",
  "refusalP95",
  "withoutRetryAfter",
  "refusedAgain",
  "paused",
] as const;

const percent = 100;

const microsecondsPerMillisecond = 1_000;

const chartOf = ({ name }: Experiment, compared: readonly PolicyRuns[]): BarChart => {
  const charted = ["worth", "worstWindow", "inTime"] as const;
  const colours = ["#2f6f4f", "#b35c1e", "#3b5b92"];
  return {
    title: name,
    unit: "%",
    series: charted.map((figure, index) => ({ name: figure, colour: colours[index] ?? "grey" })),
    groups: compared.map(({ policy, runs }) => ({
      label: policy,
      values: charted.map((figure) => spreadOf(runs, figure).mean * percent),
    })),
    maximum: percent,
  };
};

const checkPolicyNames = ({ policies }: Experiment, only: readonly string[], file: string): void => {
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
      groups: { type: "boolean", default: false },
      only: { type: "string", default: "" },
      report: { type: "string" },
      seeds: { type: "string" },
      routers: { type: "string" },
    },
  });
  const [file] = positionals;
  if (file === undefined)
    throw fileError("command line", [{ path: "FILE", cause: "name an experiment file" }]);
  const experiment = readExperiment(file, {
    ...(values.seeds === undefined ? {} : { seeds: values.seeds.split(",").map(Number) }),
    ...(values.routers === undefined ? {} : { routers: Number(values.routers) }),
  });
  const only = values.only.split(",").filter((name) => name !== "");
  checkPolicyNames(experiment, only, file);
  const compared = await runPolicies(experiment, only);
  if (values.report !== undefined) writeFile(values.report, drawBarChart(chartOf(experiment, compared)));
  console.log(
    values.json
      ? JSON.stringify({ experiment: experiment.name, seeds: experiment.seeds, compared })
      : formatTable(tableOf(compared)),
  );
  if (values.groups && !values.json) console.log(formatGroups(experiment, compared));
};

try {
  await run();
} catch (error) {
  if (!(error instanceof PomelocleatError)) throw error;
  console.error(error.message);
  process.exitCode = 1;
}
