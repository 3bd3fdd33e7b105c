/**
 * `npm run bench -- router`: processor time of routers as they are deployed, in processes of their own before the
 * platform's stand-in: a start, a second at rest, a request, and requests while weights are rolled out.
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

/** Routers enough that they ask owners; engines enough that a prompt has a choice. */
const size = { routers: 12, engines: 24, desks: 4 } as const;

/** Requests a second to each router: the mean of a deployment of 58 routers, and where a small VM begins to bind. */
const rates = { usual: 14, busy: 30 } as const;

/** Seconds of each phase. */
const lengths = { usual: 8, quick: 2 } as const;

/** Between two sets of weights, seconds. */
const weightsInterval = 4;

const functionsShown = 20;

/** The clock ticks in which the kernel counts processor time, a second. */
const ticksPerSecond = 100;

/** Where the fields of user and system time stand behind the program's name. */
const timeFields = { user: 11, system: 12 } as const;

const program = resolve("target/router.mjs");

const buildProgram = (): void => {
  execFileSync(process.execPath, [resolve("deploy/bundle.mjs")]);
  if (!existsSync(program)) throw new Error(`${program} was not built.`);
};

/** @returns Milliseconds of processor time that a process has taken. */
const readProcessorTime = async ({ process: started }: RouterSlot): Promise<number> => {
  const text = await readFile(`/proc/${started?.processId ?? 0}/stat`, "utf8");
  const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[timeFields.user]) + Number(fields[timeFields.system]);
  return (ticks / ticksPerSecond) * 1_000;
};

const readAll = async ({ routers }: SoakSystem): Promise<number> => {
  const times = await Promise.all(routers.map(readProcessorTime));
  return times.reduce((sum, time) => sum + time, 0) / routers.length;
};

/** Names new weights again and again until it is called off. */
const rollOutWeights = (system: SoakSystem): (() => void) => {
  let version = 1;
  const name = (): void => {
    version += 1;
    system.publishWeightsVersion(version);
  };
  name();
  const timer = setInterval(name, weightsInterval * 1_000);
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

/** See the module. */
export const routerBench: Bench = {
  name: "router",
  summary: "processor time of real router processes: start, rest, requests, roll-outs; the largest functions",
  run: async ({ quick, json, only }) => {
    buildProgram();
    const seconds = quick ? lengths.quick : lengths.usual;
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
