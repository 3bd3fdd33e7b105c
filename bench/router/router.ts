/**
 * `npm run bench -- router`: CPU time of routers as deployed, each in its own process in front of the platform
 * stand-in: at start, at rest, per request, and per request while new model weights are rolled out.
 */
import { execFileSync } from "node:child_process";
import { existsSync, mkdtempSync } from "node:fs";
import { readFile, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { pathToFileURL } from "node:url";
import { setTimeout as sleep } from "node:timers/promises";
import type { RouterSlot, SoakSystem } from "../../soak/platform/soakSystem.ts";
import { startSoakSystem } from "../../soak/platform/soakSystem.ts";
import { createRandom } from "../model/random.ts";
import { formatTable } from "../report/table.ts";
import type { Row } from "../report/table.ts";
import type { Bench } from "../types.ts";
import { sendLoad } from "./load.ts";
import { largestFunctions } from "./profiles.ts";

/** Enough routers that they query owners, and enough engines that placement has a choice. */
const size = { routers: 12, engines: 24, desks: 4 } as const;

/**
 * Requests per second to each router: the mean of a deployment of 58 routers, and a rate at which a small VM
 * becomes the bottleneck.
 */
const rates = { usual: 14, busy: 30 } as const;

/** Duration of each phase, seconds. */
const phaseDurations = { usual: 8, quick: 2 } as const;

/** Seconds between two weights versions. */
const weightsInterval = 4;

const functionsShown = 20;

/** Clock ticks per second in which the kernel reports CPU time. */
const ticksPerSecond = 100;

/** Positions of user and system time in `/proc/PID/stat`, counted from the end of the program name. */
const statFields = { user: 11, system: 12 } as const;

const program = resolve("target/router.mjs");

const buildProgram = (): void => {
  execFileSync(process.execPath, [resolve("deploy/bundle.mjs")]);
  if (!existsSync(program)) throw new Error(`${program} was not built.`);
};

/** @returns CPU time of a router's process so far, milliseconds. */
const readProcessorTime = async ({ process: started }: RouterSlot): Promise<number> => {
  const text = await readFile(`/proc/${started?.processId ?? 0}/stat`, "utf8");
  const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[statFields.user]) + Number(fields[statFields.system]);
  return (ticks / ticksPerSecond) * 1_000;
};

const readAll = async ({ routers }: SoakSystem): Promise<number> => {
  const times = await Promise.all(routers.map(readProcessorTime));
  return times.reduce((sum, time) => sum + time, 0) / routers.length;
};

/** Publishes a new weights version periodically. @returns A function that stops it. */
const rollOutWeights = (system: SoakSystem): (() => void) => {
  let version = 1;
  const publishNext = (): void => {
    version += 1;
    system.publishWeightsVersion(version);
  };
  publishNext();
  const timer = setInterval(publishNext, weightsInterval * 1_000);
  return () => clearInterval(timer);
};

const measure = async (system: SoakSystem, seconds: number): Promise<readonly Row[]> => {
  const random = createRandom(1, "router bench");
  const rows: Row[] = [["phase", "processor ms a second", "ms a request above rest", "served of sent"]];
  rows.push(["start to listening (ms in all)", (await readAll(system)).toFixed(0), "", ""]);
  await sleep(2_000);
  const restBegan = await readAll(system);
  await sleep(seconds * 1_000);
  const rest = ((await readAll(system)) - restBegan) / seconds;
  rows.push(["at rest", rest.toFixed(1), "", ""]);

  const phase = async (name: string, rate: number): Promise<void> => {
    const before = await readAll(system);
    const { sent, succeeded } = await sendLoad(system.routers, rate, seconds, random);
    const perSecond = ((await readAll(system)) - before) / seconds;
    const each = (perSecond - rest) / rate;
    rows.push([name, perSecond.toFixed(1), each.toFixed(2), `${succeeded} of ${sent}`]);
  };
  await phase("first requests", rates.usual);
  await phase(`${rates.usual} requests a second`, rates.usual);
  await phase(`${rates.busy} requests a second`, rates.busy);
  const endRollOut = rollOutWeights(system);
  await phase(`${rates.usual} a second, weights each ${weightsInterval} s`, rates.usual);
  endRollOut();
  return rows;
};

const runWith = async (seconds: number, runtimeOptions: readonly string[]): Promise<readonly Row[]> => {
  const module = pathToFileURL(program);
  await using system = await startSoakSystem(size, process.pid, { module, runtimeOptions });
  return await measure(system, seconds);
};

/** CPU time of router processes by phase, and their most expensive functions. */
export const routerBench: Bench = {
  name: "router",
  summary:
    "CPU time of real router processes: start, rest, requests, roll-outs; the most expensive functions",
  run: async ({ quick, json, only }) => {
    buildProgram();
    const seconds = quick ? phaseDurations.quick : phaseDurations.usual;
    const heap = "--max-old-space-size=96";
    const times = await runWith(seconds, [heap]);
    const tables = [times];
    if (!only.includes("times")) {
      const directory = mkdtempSync(join(tmpdir(), "pomelocleat-profiles-"));
      await runWith(seconds, [heap, "--cpu-prof", `--cpu-prof-dir=${directory}`]);
      const functions = await largestFunctions(directory, functionsShown);
      await rm(directory, { recursive: true });
      const rows = functions.map(({ place, share }) => [place, (share * 100).toFixed(1)]);
      tables.push([["function, with a profile", "% of processor time"], ...rows]);
    }
    console.log(json ? JSON.stringify(tables) : tables.map(formatTable).join("\n\n"));
  },
};
