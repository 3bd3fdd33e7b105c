/**
 * `npm run soak:platform [-- --seed N --seeds 1 --seconds 20 --routers 4 --engines 4 --desks 3 --reports --returns --registry --load --streams --partitions --moves --crashes --records --clients --suspend --shrink --logs DIR]`:
 * runs routers as processes with the platform's stand-in, under the faults of a seeded plan. Exit code 1 if an
 * invariant was violated; the plan and the routers' logs of such a run are written to the directory of `--logs`.
 */
import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { parseArgs } from "node:util";
import type { Step } from "./plan.ts";
import { createPlan, describePlan, stepKinds } from "./plan.ts";
import type { SoakOutcome } from "./runSoak.ts";
import { runSoak } from "./runSoak.ts";
import { shrinkPlan } from "./shrink.ts";
import type { SystemSize } from "./soakSystem.ts";

const maxPrintedViolations = 10;

/** Exit codes after signals, as shells report them. */
const exitCodes = { SIGHUP: 129, SIGINT: 130, SIGTERM: 143 } as const;

const { values } = parseArgs({
  options: {
    seed: { type: "string" },
    seeds: { type: "string", default: "1" },
    seconds: { type: "string", default: "20" },
    routers: { type: "string", default: "4" },
    engines: { type: "string", default: "4" },
    desks: { type: "string", default: "3" },
    only: { type: "string" },
    reports: { type: "boolean", default: false },
    returns: { type: "boolean", default: false },
    registry: { type: "boolean", default: false },
    load: { type: "boolean", default: false },
    streams: { type: "boolean", default: false },
    partitions: { type: "boolean", default: false },
    moves: { type: "boolean", default: false },
    crashes: { type: "boolean", default: false },
    records: { type: "boolean", default: false },
    clients: { type: "boolean", default: false },
    suspend: { type: "boolean", default: false },
    shrink: { type: "boolean", default: false },
    logs: { type: "string", default: "build/soak" },
  },
});

const size: SystemSize = {
  routers: Number(values.routers),
  engines: Number(values.engines),
  desks: Number(values.desks),
};
const options = {
  isSuspending: values.suspend,
  isLoaded: values.load,
  isPartitionable: values.partitions,
};
const firstSeed = Number(values.seed ?? Date.now() % 1_000_000);

/** Of several, the last one decides on the kinds of steps. */
const optionalTopics = [
  "reports",
  "returns",
  "registry",
  "load",
  "streams",
  "partitions",
  "moves",
  "crashes",
  "records",
  "clients",
] as const;

const createSeedPlan = (seed: number): readonly Step[] => {
  const topic = optionalTopics.findLast((each) => values[each]) ?? "default";
  const plan = createPlan(seed, Number(values.seconds), stepKinds[topic]);
  const only = values.only?.split(",").map(Number);
  return only === undefined ? plan : plan.filter((_, index) => only.includes(index));
};

const countStatuses = ({ history }: SoakOutcome): string => {
  const counts: Record<string, number> = {};
  for (const { status, isCut } of history.callers) {
    const name = `${status}${isCut ? " cut" : ""}`;
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return JSON.stringify(counts);
};

const report = (seed: number, plan: readonly Step[], outcome: SoakOutcome): void => {
  const { violations, history } = outcome;
  console.log(
    `seed ${seed}: ${plan.length} steps, ${history.callers.length} requests ${countStatuses(outcome)}, ${violations.length} violations`,
  );
  for (const { promise, detail } of violations.slice(0, maxPrintedViolations))
    console.log(`- ${promise}: ${detail}`);
};

const saveFailure = async (
  seed: number,
  plan: readonly Step[],
  { violations, history, log }: SoakOutcome,
): Promise<void> => {
  await mkdir(values.logs, { recursive: true });
  const name = join(values.logs, `seed-${seed}`);
  await writeFile(`${name}.log`, log.join("\n"));
  await writeFile(
    `${name}.json`,
    JSON.stringify({ size, plan, violations, steps: history.steps }, undefined, 1),
  );
  console.log([`kept: ${name}.log, ${name}.json`, ...describePlan(plan)].join("\n"));
};

const shrink = async (seed: number, plan: readonly Step[]): Promise<void> => {
  const fails = async (part: readonly Step[]): Promise<boolean> => {
    const { violations } = await runSoak({ seed, plan: part, size, ...options });
    console.log(`${part.length} steps: ${violations.length === 0 ? "holds" : "fails"}`);
    return violations.length > 0;
  };
  console.log(describePlan(await shrinkPlan(plan, fails)).join("\n"));
};

// Without a handler a signal ends this process and leaves its routers running.
for (const [signal, code] of Object.entries(exitCodes)) process.once(signal, () => process.exit(code));

let failed = 0;
for (let seed = firstSeed; seed < firstSeed + Number(values.seeds); seed += 1) {
  const plan = createSeedPlan(seed);
  const outcome = await runSoak({ seed, plan, size, ...options });
  report(seed, plan, outcome);
  if (outcome.violations.length === 0) continue;
  failed += 1;
  await saveFailure(seed, plan, outcome);
  if (values.shrink) await shrink(seed, plan);
}
console.log(`${failed} of ${values.seeds} seeds failed`);
// Node's ordinary exit may wait for ever for a write of a socket that a proxy has reset meanwhile.
process.exit(failed === 0 ? 0 : 1);
