/** The tables of the placement bench. */
import type { Figures } from "../model/figures.ts";
import type { Mix } from "../model/mixes.ts";
import type { Row } from "../report/table.ts";
import { formatMilliseconds, formatRatio, formatShare } from "../report/table.ts";
import type { Expectation } from "./expectations.ts";
import type { PolicyRuns, ScenarioRun } from "./runs.ts";

const classCells = ({ classes }: Figures, mix: Mix): readonly string[] =>
  mix.classes.map(({ className }) => {
    const found = classes[className];
    if (found === undefined) return "-";
    return [found.p50, found.p99, found.p999].map(formatMilliseconds).join(" / ");
  });

/** One line for each policy of one scenario. */
export const scenarioRows = (mix: Mix, policies: readonly PolicyRuns[], scenario: string): readonly Row[] => {
  const heading = [
    "policy",
    "hit %",
    "wasted %",
    "goodput/s",
    "refused %",
    "unanswered %",
    "prefill busy %",
    "3–10 s after / steady",
    `${mix.primaryClass} p99 of all ms`,
    ...mix.classes.map(({ className }) => `${className} TTFT p50 / p99 / p99.9 ms`),
  ];
  const line = (policy: string, { figures, recovery }: ScenarioRun): Row => [
    policy,
    formatShare(figures.hitRate),
    formatShare(figures.wasted),
    figures.goodput.toFixed(1),
    formatShare(figures.refused),
    formatShare(figures.unanswered),
    formatShare(figures.prefillShare, 0),
    recovery === undefined ? "-" : formatRatio(recovery),
    formatMilliseconds(figures.classes[mix.primaryClass]?.p99OfAll ?? NaN),
    ...classCells(figures, mix),
  ];
  const rows = policies.flatMap(({ policy, runs }) => {
    const run = runs.get(scenario);
    return run === undefined ? [] : [line(policy, run)];
  });
  return [heading, ...rows];
};

/** What a flooding organisation costs the others, by policy. */
export const fairnessRows = (mix: Mix, policies: readonly PolicyRuns[]): readonly Row[] => {
  const cells = ({ hitRate, refused, unanswered, classes }: Figures): readonly string[] => [
    formatShare(hitRate),
    formatShare(refused + unanswered),
    formatMilliseconds(classes[mix.primaryClass]?.p99OfAll ?? NaN),
  ];
  const columns = ["rivals' hit %", "refused or unanswered %", `p99 of ${mix.primaryClass} ms`];
  return [
    ["policy", ...columns, ...columns.map((column) => `${column}, flood`)],
    ...policies.map(({ policy, rivalsBefore, rivalsDuring }) => [
      policy,
      ...cells(rivalsBefore),
      ...cells(rivalsDuring),
    ]),
  ];
};

/** Expected figures beside the measured ones. */
export const expectationRows = (expectations: readonly Expectation[]): readonly Row[] => [
  ["expected of ours (issue 4)", "limit", "measured", "verdict"],
  ...expectations.map(({ text, expected, measured, met }) => [
    text,
    expected,
    measured,
    met ? "met" : "MISSED",
  ]),
];
