import { describe, it } from "node:test";
import { expect } from "earl";
import { consistentHashPolicy } from "../policies/consistentHash.ts";
import { createArrivals } from "./arrivals.ts";
import { createLevantMix } from "./mixes.ts";
import { usualReports } from "./scenarios.ts";
import { runSimulation } from "./simulation.ts";
import type { SimulationParameters, SimulationResult } from "./simulation.ts";

const mix = createLevantMix();
const flood = { organisation: "karak-aviation", from: 0, until: Infinity, factor: 10, subjects: 5 };
const usual = { mix, seed: 7, duration: 14_000, utilisation: 0.1 };

const run = (changes: Partial<SimulationParameters> = {}): Promise<SimulationResult> =>
  runSimulation({ ...usual, policy: consistentHashPolicy, reports: usualReports, ...changes });

describe("createArrivals", () => {
  it("creates the same requests of the other organisations whether one of them floods or not", () => {
    const alone = createArrivals({ ...usual, routers: 8 });
    const flooded = createArrivals({ ...usual, routers: 8, flood });
    const others = (arrivals: typeof alone) =>
      arrivals.filter(({ organisation }) => organisation !== flood.organisation);
    expect(others(flooded)).toEqual([...others(alone)]);
    expect(flooded.length > alone.length).toEqual(true);
  });
});

describe("runSimulation", () => {
  it("gives the same result for the same seed", async () => {
    expect(await run()).toEqual(await run());
  });

  it("answers every request where nothing fails", async () => {
    const { records } = await run();
    expect(records.every(({ outcome, attempts }) => outcome === "finished" && attempts === 1)).toEqual(true);
  });

  it("retries requests of a crashed engine on other engines", async () => {
    const crash = {
      at: 10_000,
      apply: (faults: { crashEngine: (index: number) => void }) => faults.crashEngine(0),
    };
    const { records } = await run({ faults: [crash] });
    expect(records.some(({ attempts }) => attempts > 1)).toEqual(true);
    expect(records.every(({ firstTokenAfter }) => firstTokenAfter !== undefined)).toEqual(true);
  });
});
