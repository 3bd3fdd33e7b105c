/**
 * `npm run soak [-- --seconds 60 --seed N]`: the whole system as processes, with random kills, freezes, outages
 * and lost answers, and checks on what callers and stand-ins recorded. Exit code 1 if a promise was broken.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { parseArgs } from "node:util";
import { createRandom } from "../bench/model/random.ts";
import { startSystem } from "../demo/processes.ts";
import { createCaller } from "../tests/processes/caller.ts";
import { listExecutions, waitForEngines } from "../tests/processes/standInControl.ts";
import { findViolations } from "./checks.ts";
import { createFaultInjector } from "./faultInjector.ts";
import { soakQuestions, startLoad } from "./load.ts";
import type { SoakRecord } from "./types.ts";

const defaultSeconds = 60;
const longestSeconds = 600;
const pauseBetween = 250;
const disturbances = 2;
const shownViolations = 20;
const settleTime = 1_000;

const { values } = parseArgs({ options: { seconds: { type: "string" }, seed: { type: "string" } } });
const seconds = Math.min(longestSeconds, Number(values.seconds ?? defaultSeconds));
const seed = Number(values.seed ?? Date.now() % 1_000_000);

const countLast = (records: readonly SoakRecord[]): Readonly<Record<string, number>> => {
  const counts: Record<string, number> = {};
  for (const { request: asked, tries } of records) {
    const kind = `${asked.key === undefined ? "idempotent" : "once"} ${tries.at(-1)?.outcome ?? ""}`;
    counts[kind] = (counts[kind] ?? 0) + 1;
  }
  return counts;
};

const run = async (): Promise<number> => {
  console.log(`soak: ${seconds} s, seed ${seed}`);
  await using system = await startSystem({
    configurationFile: "examples/demo.json",
    routers: ["amman-north", "amman-north", "catania-a", "catania-a"],
    standIns: { service: { workMilliseconds: 10 } },
  });
  await waitForEngines(system);
  const urls = (): readonly string[] => system.routers().map(({ process }) => process.url);
  await using caller = createCaller(urls);
  const undisturbed: string[] = [];
  for (const question of soakQuestions) undisturbed.push((await caller.sendWithRetries(question)).text);

  const random = createRandom(seed, "soak");
  let turn = 0;
  const pickRouter = (): string => urls()[(turn += 1) % urls().length] ?? "";
  const load = startLoad(caller, pickRouter, undisturbed);
  const disturber = createFaultInjector(system, random);
  const until = performance.now() + seconds * 1_000;
  const disturbing = Array.from({ length: disturbances }, async () => {
    while (performance.now() < until) {
      await disturber.injectFault();
      await sleep(pauseBetween);
    }
  });
  await Promise.all(disturbing);
  await load.stop();
  await sleep(settleTime);

  const violations = [
    ...findViolations(load.records, await listExecutions(system)),
    ...(await disturber.findBadShutdowns()),
  ];
  console.log(`requests: ${JSON.stringify(countLast(load.records))}`);
  console.log(`disturbances: ${JSON.stringify(Object.fromEntries(disturber.counts))}`);
  console.log(`violations: ${violations.length}`);
  for (const { promise, detail } of violations.slice(0, shownViolations)) {
    console.log(`- ${promise}: ${detail}`);
  }
  return violations.length === 0 ? 0 : 1;
};

process.exitCode = await run();
