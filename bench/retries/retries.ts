/** `npm run bench -- retries`: cost and benefit of retries while engines fail, and of hedging without failures. */
import { readFile } from "node:fs/promises";
import { parseConfiguration } from "../../src/protocol/configuration/check.ts";
import type { Configuration } from "../../src/protocol/configuration/schema.ts";
import { formatMilliseconds, formatShare, formatTable } from "../report/table.ts";
import type { Bench, BenchOptions } from "../types.ts";
import { rates, simulationParameters } from "./constants.ts";
import { hedgePolicies, retryPolicies } from "./policies.ts";
import { runRetries } from "./simulation.ts";
import type { RequestRecord, RetryPolicy, RetryResult, RetryScenario } from "./simulation.ts";
import { mean } from "../report/mean.ts";

/** Figures of one policy under one failure. */
interface RetryFigures {
  readonly scenario: string;
  readonly policy: string;
  /** Attempts that reached engines per request while engines failed. */
  readonly amplification: number;
  /** Amplification in the worst second. */
  readonly worstAmplification: number;
  /** Share of the requests that arrived while engines failed and got a complete answer in time. */
  readonly goodput: number;
  /** Milliseconds from the recovery of the engines to the first second with 95 % of good answers. */
  readonly recovery: number;
}

interface HedgeFigures {
  readonly policy: string;
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
  readonly extraAttempts: number;
  readonly work: number;
}

const recoveredShare = 0.95;
const thirdFailing = { failing: 3, requestsPerSecond: rates.usual } as const;
const scenarios: readonly RetryScenario[] = [
  { name: "a third crashed", failure: "crashed", ...thirdFailing },
  { name: "a third frozen", failure: "frozen", ...thirdFailing },
  { name: "a third breaking", failure: "breaking", ...thirdFailing },
  { name: "a third breaking, high load", failure: "breaking", failing: 3, requestsPerSecond: rates.high },
  {
    name: "all breaking",
    failure: "breaking",
    failing: simulationParameters.engines,
    requestsPerSecond: rates.usual,
  },
];
const noFailure: RetryScenario = { name: "none", failure: "well", ...thirdFailing };

const within = (from: number, until: number) => (at: number) => at >= from && at < until;

const goodShare = (records: readonly RequestRecord[]): number =>
  records.filter(({ good }) => good).length / records.length;

const recordsIn = ({ records }: RetryResult, from: number, until: number): readonly RequestRecord[] =>
  records.filter(({ arrivedAt }) => within(from, until)(arrivedAt));

const amplificationIn = (result: RetryResult, from: number, until: number): number =>
  result.attempts.filter(within(from, until)).length / recordsIn(result, from, until).length;

const windowsBetween = (from: number, until: number): readonly number[] =>
  Array.from(
    { length: Math.floor((until - from) / simulationParameters.window) },
    (_, index) => from + index * simulationParameters.window,
  );

const recoveryOf = (result: RetryResult, duration: number): number => {
  const start = windowsBetween(simulationParameters.failUntil, duration).find(
    (from) => goodShare(recordsIn(result, from, from + simulationParameters.window)) >= recoveredShare,
  );
  return start === undefined ? Infinity : start - simulationParameters.failUntil;
};

const runSeeds = async (
  policy: RetryPolicy,
  scenario: RetryScenario,
  configuration: Configuration,
  { seeds }: BenchOptions,
): Promise<readonly RetryResult[]> => {
  const results: RetryResult[] = [];
  for (const seed of seeds) {
    results.push(
      await runRetries({ policy, scenario, seed, configuration, duration: simulationParameters.duration }),
    );
  }
  return results;
};

const measureRetries = (
  policy: RetryPolicy,
  { name: scenario }: RetryScenario,
  results: readonly RetryResult[],
): RetryFigures => {
  const { failFrom, failUntil, window, duration } = simulationParameters;
  const worst = (result: RetryResult): number =>
    Math.max(
      ...windowsBetween(failFrom, failUntil).map((from) => amplificationIn(result, from, from + window)),
    );
  return {
    scenario,
    policy: policy.name,
    amplification: mean(results.map((result) => amplificationIn(result, failFrom, failUntil))),
    worstAmplification: Math.max(...results.map(worst)),
    goodput: mean(results.map((result) => goodShare(recordsIn(result, failFrom, failUntil)))),
    recovery: Math.max(...results.map((result) => recoveryOf(result, duration))),
  };
};

const percentile = (sorted: readonly number[], share: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? Infinity;

const measureHedges = (policy: RetryPolicy, results: readonly RetryResult[]): HedgeFigures => {
  const steady = results.flatMap((result) =>
    recordsIn(result, simulationParameters.warmUp, simulationParameters.duration),
  );
  const times = steady
    .map(({ firstTokenAfter }) => firstTokenAfter ?? Infinity)
    .sort((left, right) => left - right);
  return {
    policy: policy.name,
    p50: percentile(times, 0.5),
    p99: percentile(times, 0.99),
    p999: percentile(times, 0.999),
    extraAttempts: mean(results.map((result) => result.attempts.length / result.records.length)) - 1,
    work: mean(results.map(({ work, records }) => work / records.length)),
  };
};

const retryRow = (figures: RetryFigures): readonly string[] => [
  figures.scenario,
  figures.policy,
  figures.amplification.toFixed(3),
  figures.worstAmplification.toFixed(2),
  formatShare(figures.goodput),
  formatMilliseconds(figures.recovery),
];

const hedgeRow = (figures: HedgeFigures): readonly string[] => [
  figures.policy,
  formatMilliseconds(figures.p50),
  formatMilliseconds(figures.p99),
  formatMilliseconds(figures.p999),
  formatShare(figures.extraAttempts),
  figures.work.toFixed(1),
];

const print = (retries: readonly RetryFigures[], hedges: readonly HedgeFigures[]): void => {
  const retryHeading = [
    "scenario",
    "policy",
    "attempts/request",
    "worst second",
    "good % while failing",
    "recovery ms",
  ];
  const hedgeHeading = ["policy", "TTFT p50", "p99", "p99.9", "extra attempts %", "slot ms/request"];
  console.log(`Of ${simulationParameters.engines} engines some fail for 20 s of 60 s\n`);
  console.log(formatTable([retryHeading, ...retries.map(retryRow)]));
  console.log(
    `\nNo failures; ${formatShare(simulationParameters.stragglers)} % of prompts take ${simulationParameters.stragglerTime} ms more\n`,
  );
  console.log(formatTable([hedgeHeading, ...hedges.map(hedgeRow)]));
};

const run = async (options: BenchOptions): Promise<void> => {
  const file = "examples/levant.json";
  const configuration = parseConfiguration(await readFile(file, "utf8"), file);
  const retries: RetryFigures[] = [];
  for (const scenario of scenarios) {
    for (const policy of retryPolicies) {
      const results = await runSeeds(policy, scenario, configuration, options);
      retries.push(measureRetries(policy, scenario, results));
    }
  }
  const hedges: HedgeFigures[] = [];
  for (const policy of hedgePolicies) {
    hedges.push(measureHedges(policy, await runSeeds(policy, noFailure, configuration, options)));
  }
  if (options.json) console.log(JSON.stringify({ seeds: options.seeds, retries, hedges }));
  else print(retries, hedges);
};

/** Compares retry and hedging policies. */
export const retriesBench: Bench = {
  name: "retries",
  summary: "cost and benefit of retries while engines fail, and of hedging without failures",
  run,
};
