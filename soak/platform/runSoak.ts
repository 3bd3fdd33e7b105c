/** One seeded run: a system, callers, the steps of the plan, and what the checks find. */
import { setTimeout as sleep } from "node:timers/promises";
import { createRandom } from "../../bench/model/random.ts";
import { numberOf, readLogLines } from "../../src/commandLine/logLines.ts";
import type { Violation } from "../types.ts";
import { startSoakCallers } from "./callers.ts";
import { findPlatformViolations } from "./checks.ts";
import { createFaultInjector, createTenants } from "./faultInjector.ts";
import type { Step } from "./plan.ts";
import type { SystemSize } from "./soakSystem.ts";
import { bounds, compiledProgram, startSoakSystem, suspendableProgram } from "./soakSystem.ts";
import type { SoakHistory } from "./types.ts";

/** What one run is made of. */
export interface SoakRun {
  readonly seed: number;
  readonly plan: readonly Step[];
  readonly size: SystemSize;
  /** Whether routers that freeze are suspended, with clocks that stand still. */
  readonly isSuspending?: boolean;
}

/** What came of a run. */
export interface SoakOutcome {
  readonly violations: readonly Violation[];
  readonly history: SoakHistory;
  /** What the routers wrote, for whoever traces a violation. */
  readonly log: readonly string[];
}

/** After the last step: until all should be well again, and for how long that is looked at, milliseconds. */
const settleTime = 3_000;
const lookTime = 2_500;

const spareKeyCount = 12;
const warmUp = 800;

const readProofAges = (log: readonly string[]): readonly number[] =>
  readLogLines(log.join("\n"))
    .lines.map((line) => numberOf(line, "configurationAge"))
    .filter((age) => age !== undefined);

/** Carries out a run. */
export const runSoak = async ({ seed, plan, size, isSuspending = false }: SoakRun): Promise<SoakOutcome> => {
  const spareKeys = Array.from({ length: spareKeyCount }, (_, index) => `key-spare-${index}`);
  // The process's id keeps runs beside one another apart; the seed decides what happens.
  await using system = await startSoakSystem(
    size,
    process.pid + seed,
    isSuspending ? suspendableProgram : compiledProgram,
  );
  system.publish(2, { tenants: createTenants(spareKeys) });
  await sleep(warmUp);
  const disturber = createFaultInjector(system, spareKeys);
  const callers = startSoakCallers(system.routers, createRandom(seed, "callers"), spareKeys);
  const startedAt = performance.now();
  await Promise.all(
    plan.map(async (step) => {
      await sleep(Math.max(0, startedAt + step.at - performance.now()));
      await disturber.carryOut(step);
    }),
  );
  const quietAt = performance.now();
  await sleep(settleTime + lookTime);
  await callers.stop();
  const history: SoakHistory = {
    callers: callers.records,
    replicas: system.replicas.map(({ replica, service, drainingSince: leftAt }) => ({
      id: replica.id,
      service,
      runs: replica.runs,
      arrivals: replica.arrivals,
      orders: replica.orders,
      leftAt,
    })),
    steps: disturber.steps,
    shutdowns: disturber.shutdowns,
    operator: disturber.operator,
    proofAges: readProofAges(system.log),
    bounds,
    lastStepEndedAt: quietAt,
  };
  return { violations: findPlatformViolations(history), history, log: [...system.log] };
};
