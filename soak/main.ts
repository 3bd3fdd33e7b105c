/**
 * `npm run soak [-- --seconds 60 --seed N]`: runs the whole system as processes under random kills, freezes, outages
 * and lost answers, then checks the records of callers and stand-ins. Exit code 1 if an invariant was violated.
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
const maxSeconds = 600;
/** Milliseconds. */
const delayBetweenFaults = 250;
/** How many faults are injected at the same time. */
const concurrentInjections = 2;
const maxPrintedViolations = 20;
/** Milliseconds between the end of the load and the checks. */
const settleTime = 1_000;

const { values } = parseArgs({ options: { seconds: { type: "string" }, seed: { type: "string" } } });
const seconds = Math.min(maxSeconds, Number(values.seconds ?? defaultSeconds));
const seed = Number(values.seed ?? Date.now() % 1_000_000);

const countOutcomes = (records: readonly SoakRecord[]): Readonly<Record<string, number>> => {
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
  const expectedTexts: string[] = [];
  for (const question of soakQuestions) expectedTexts.push((await caller.sendWithRetries(question)).text);

  const random = createRandom(seed, "soak");
  let routerIndex = 0;
  const pickRouter = (): string => urls()[(routerIndex += 1) % urls().length] ?? "";
  const load = startLoad(caller, pickRouter, expectedTexts);
  const faultInjector = createFaultInjector(system, random);
  const endsAt = performance.now() + seconds * 1_000;
  const injecting = Array.from({ length: concurrentInjections }, async () => {
    while (performance.now() < endsAt) {
      await faultInjector.injectFault();
      await sleep(delayBetweenFaults);
    }
  });
  await Promise.all(injecting);
  await load.stop();
  await sleep(settleTime);

  const violations = [
    ...findViolations(load.records, await listExecutions(system)),
    ...(await faultInjector.findBadShutdowns()),
  ];
  console.log(`requests: ${JSON.stringify(countOutcomes(load.records))}`);
  console.log(`disturbances: ${JSON.stringify(Object.fromEntries(faultInjector.counts))}`);
  console.log(`violations: ${violations.length}`);
  for (const { promise, detail } of violations.slice(0, maxPrintedViolations)) {
    console.log(`- ${promise}: ${detail}`);
  }
  return violations.length === 0 ? 0 : 1;
};

process.exitCode = await run();
