/**
 * `npm run bench -- retryBudget`: designs of the retry budget, by their worst window over histories in which callers move
 * and routers come and go, by the retries that they grant when failures begin, and by those that they deny while some
 * attempts fail.
 */
import { createRandom } from "../model/random.ts";
import { formatTable } from "../report/table.ts";
import type { Bench, BenchOptions } from "../types.ts";
import { designs } from "./designs.ts";
import type { AllowanceFactory } from "./fleetModel.ts";
import type { Fleet } from "./fleets.ts";
import { fleets, largeFleet } from "./fleets.ts";
import { playFleet } from "./fleetModel.ts";
import { createHistory, namedHistories, partialFailures } from "./histories.ts";

const format = (share: number): string => share.toFixed(2);

const playAll = (fleet: Fleet, design: AllowanceFactory, seeds: readonly number[]) => {
  const rows = namedHistories.map(({ name, events }) => {
    const outcomes = seeds.map((seed) =>
      playFleet(
        createHistory(fleet.routers, fleet.requestsPerSecond, events),
        fleet.budget,
        design,
        createRandom(seed, name),
      ),
    );
    return { name, worst: Math.max(...outcomes.map(({ worstWindow }) => worstWindow)), outcomes };
  });
  const calm = rows[0]?.outcomes ?? [];
  return {
    rows,
    firstSecond: Math.min(...calm.map(({ firstSecond }) => firstSecond)),
    sustained: Math.min(...calm.map(({ sustained }) => sustained)),
  };
};

/** @returns Of the retries that requests need while some attempts fail, the share that is denied, for each history. */
const findDenied = (fleet: Fleet, design: AllowanceFactory, seeds: readonly number[]): readonly number[] =>
  partialFailures.map(({ name, events, start, episodes }) => {
    const history = { ...createHistory(fleet.routers, fleet.requestsPerSecond, events, start), episodes };
    const outcomes = seeds.map((seed) => playFleet(history, fleet.budget, design, createRandom(seed, name)));
    const sumOf = (part: "asked" | "denied"): number =>
      outcomes.reduce((sum, outcome) => sum + outcome[part], 0);
    return sumOf("denied") / sumOf("asked");
  });

const run = ({ seeds, quick, only, json }: BenchOptions): Promise<void> => {
  const chosen = Object.entries(designs).filter(([name]) => only.length === 0 || only.includes(name));
  for (const fleet of quick ? fleets.filter((each) => each !== largeFleet) : fleets) {
    const results = chosen.map(([name, design]) => ({
      name,
      ...playAll(fleet, design, seeds),
      denied: findDenied(fleet, design, seeds),
    }));
    if (json) {
      console.log(JSON.stringify({ fleet, results }));
      continue;
    }
    console.log(`${fleet.routers} routers, ${fleet.requestsPerSecond} requests/s, shares of what is allowed`);
    const header = ["history", ...chosen.map(([name]) => name)];
    const worst = namedHistories.map(({ name }, index) => [
      name,
      ...results.map(({ rows }) => format(rows[index]?.worst ?? 0)),
    ]);
    const granted = [
      ["granted in the first second", ...results.map(({ firstSecond }) => format(firstSecond))],
      ["granted while requests fail, 24 s", ...results.map(({ sustained }) => format(sustained))],
    ];
    const denied = partialFailures.map(({ name }, index) => [
      `denied while some attempts fail, ${name}`,
      ...results.map((result) => (result.denied[index] ?? 0).toFixed(3)),
    ]);
    console.log(formatTable([header, ...worst, ...granted, ...denied]));
  }
  return Promise.resolve();
};

export const retryBudgetBench: Bench = {
  name: "retryBudget",
  summary: "the retry budget over all routers while callers move and routers come and go",
  run,
};
