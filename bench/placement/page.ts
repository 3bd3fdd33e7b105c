/** Writes the placement bench's tables and plots into the project's pages. */
import type { Mix } from "../model/mixes.ts";
import { scenarios } from "../model/scenarios.ts";
import type { Scenario } from "../model/scenarios.ts";
import { drawBarChart } from "../report/barChart.ts";
import type { BarChart } from "../report/barChart.ts";
import { commitName, writeFile, writeSection } from "../report/page.ts";
import { formatMarkdownTable } from "../report/table.ts";
import type { Expectation } from "./expectations.ts";
import type { PolicyRuns } from "./runs.ts";
import { expectationRows, fairnessRows, scenarioRows } from "./tables.ts";

/** Everything measured for one mix. */
export interface MixRuns {
  readonly mix: Mix;
  readonly policies: readonly PolicyRuns[];
  readonly expectations: readonly Expectation[];
}

const page = "docs/MEASUREMENTS.md";
const plots = "docs/measurements";

const firstTokenChart = ({ mix, policies }: MixRuns): BarChart => ({
  title: `${mix.name}, steady: time to first token of ${mix.primaryClass} (refused ones count as unbounded in p99 of all)`,
  unit: "ms",
  maximum: 3000,
  series: [
    { name: "p50 of answered", colour: "#7fb3d5" },
    { name: "p99 of answered", colour: "#2874a6" },
    { name: "p99 of all", colour: "#c0392b" },
  ],
  groups: policies.map(({ policy, runs }) => {
    const found = runs.get(scenarios.steady.name)?.figures.classes[mix.primaryClass];
    return { label: policy, values: [found?.p50 ?? NaN, found?.p99 ?? NaN, found?.p99OfAll ?? NaN] };
  }),
});

const hitRateChart = ({ mix, policies }: MixRuns): BarChart => ({
  title: `${mix.name}, steady: prompt tokens taken from caches, and computed although some engine held them`,
  unit: "%",
  maximum: 100,
  series: [
    { name: "hit rate", colour: "#1e8449" },
    { name: "wasted", colour: "#b9770e" },
  ],
  groups: policies.map(({ policy, runs }) => {
    const figures = runs.get(scenarios.steady.name)?.figures;
    return { label: policy, values: [(figures?.hitRate ?? NaN) * 100, (figures?.wasted ?? NaN) * 100] };
  }),
});

const mixText = (runs: MixRuns): string => {
  const { mix, policies, expectations } = runs;
  const sections = (Object.values(scenarios) as readonly Scenario[]).map(
    ({ name, summary }) =>
      `#### ${name}\n\n${summary}\n\n${formatMarkdownTable(scenarioRows(mix, policies, name))}`,
  );
  return [
    `### ${mix.name}`,
    `Usual load: ${mix.utilisation} of all prompt computing time at perfect caching.`,
    `![time to first token](measurements/placement-${mix.name}-ttft.svg)`,
    `![hit rate](measurements/placement-${mix.name}-hits.svg)`,
    "#### Expected figures",
    formatMarkdownTable(expectationRows(expectations)),
    ...sections,
    "#### Rivals of a flooding organisation",
    formatMarkdownTable(fairnessRows(mix, policies)),
  ].join("\n\n");
};

/**
 * Writes page and plots.
 *
 * @param how - Seeds and durations, for the page.
 */
export const writePlacementPage = (measured: readonly MixRuns[], how: string): void => {
  for (const runs of measured) {
    writeFile(`${plots}/placement-${runs.mix.name}-ttft.svg`, drawBarChart(firstTokenChart(runs)));
    writeFile(`${plots}/placement-${runs.mix.name}-hits.svg`, drawBarChart(hitRateChart(runs)));
  }
  const heading = `## Placement\n\n\`npm run bench -- placement --write\` with src as of ${commitName()}, ${how}. Simulated time.`;
  writeSection(page, "Measurements", "placement", [heading, ...measured.map(mixText)].join("\n\n"));
};
