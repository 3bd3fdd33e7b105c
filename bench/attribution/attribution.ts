/**
 * `npm run bench -- attribution`: ways to find the prompt part that crashes replicas, over drawn histories: crashes until
 * it is blocked, and sound requests that are blocked.
 */
import { createRandom } from "../model/random.ts";
import { mean } from "../report/mean.ts";
import { formatTable } from "../report/table.ts";
import type { Bench, BenchOptions } from "../types.ts";
import type { HistorySettings } from "./histories.ts";
import { playHistory } from "./histories.ts";
import { rules } from "./rules.ts";

const small: HistorySettings = {
  name: "6 routers, one cause",
  routers: 6,
  replicas: 14,
  batch: 8,
  soundRate: 60,
  crashingRate: 20,
  causes: [1],
  openings: 5,
  subjects: 60,
  companions: 0,
  restartTime: 1_500,
  kills: 0,
};

const large: HistorySettings = {
  ...small,
  name: "460 routers, batches of 64",
  routers: 460,
  replicas: 200,
  batch: 64,
  soundRate: 3_000,
  crashingRate: 60,
  openings: 40,
  subjects: 4_000,
};

const histories: readonly HistorySettings[] = [
  small,
  { ...small, name: "6 routers, a part always with the cause", companions: 1 },
  { ...small, name: "6 routers, two causes", causes: [1, 2] },
  { ...small, name: "6 routers, most replicas down", restartTime: 6_000, crashingRate: 60 },
  { ...small, name: "6 routers, five replicas killed at once", crashingRate: 0, kills: 5 },
  { ...small, name: "6 routers, all replicas killed at once", crashingRate: 0, kills: 14 },
  large,
  { ...large, name: "460 routers, two causes", causes: [1, 2] },
  { ...large, name: "460 routers, 150 replicas killed at once", crashingRate: 0, kills: 150 },
];

const run = ({ seeds, quick, only, json }: BenchOptions): Promise<void> => {
  const chosen = Object.entries(rules).filter(([name]) => only.length === 0 || only.includes(name));
  const rows = histories
    .filter(({ routers }) => !quick || routers === small.routers)
    .map((history) => ({
      history: history.name,
      results: chosen.map(([name, create]) => {
        const outcomes = seeds.map((seed) =>
          playHistory(history, create(), createRandom(seed, history.name)),
        );
        return {
          name,
          crashes: mean(outcomes.map(({ crashes }) => crashes)),
          mostCrashes: Math.max(...outcomes.map(({ crashes }) => crashes)),
          soundBlocked: mean(outcomes.map(({ soundBlocked }) => soundBlocked)),
        };
      }),
    }));
  if (json) console.log(JSON.stringify(rows));
  else {
    const header = [
      "crashes, mean (most), and share of sound requests blocked",
      ...chosen.map(([name]) => name),
    ];
    const cells = rows.map(({ history, results }) => [
      history,
      ...results.map(
        ({ crashes, mostCrashes, soundBlocked }) =>
          `${crashes.toFixed(1)} (${mostCrashes}) ${soundBlocked.toFixed(3)}`,
      ),
    ]);
    console.log(formatTable([header, ...cells]));
  }
  return Promise.resolve();
};

export const attributionBench: Bench = {
  name: "attribution",
  summary: "ways to find the prompt part that crashes replicas",
  run,
};
