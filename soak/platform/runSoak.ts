/** One run of the soak: starts a system and callers, carries out a plan and checks the records. */
import { setTimeout as sleep } from "node:timers/promises";
import { createRandom } from "../../bench/model/random.ts";
import type { LogLine } from "../../src/commandLine/logLines.ts";
import { numberOf, readLogLines } from "../../src/commandLine/logLines.ts";
import type { Violation } from "../types.ts";
import { startSoakCallers } from "./callers.ts";
import { findPlatformViolations } from "./checks.ts";
import { createFaultInjector, createTenants, firstVersion } from "./faultInjector.ts";
import type { Step } from "./plan.ts";
import type { SystemSize } from "./soakSystem.ts";
import { bounds, compiledProgram, startSoakSystem, suspendableProgram } from "./soakSystem.ts";
import type { SoakHistory } from "./types.ts";

/** Options of a run. */
export interface SoakRun {
  readonly seed: number;
  readonly plan: readonly Step[];
  readonly size: SystemSize;
  /** True simulates suspended VMs instead of frozen processes: the routers' monotonic clocks stop meanwhile. */
  readonly isSuspending?: boolean;
  /** True gives the engines uneven speeds and bounded memory, and enables the routers' features under load. */
  readonly isLoaded?: boolean;
  /** True lets routers be partitioned from the replicas. */
  readonly isPartitionable?: boolean;
}

/** Result of a run. */
export interface SoakOutcome {
  readonly violations: readonly Violation[];
  readonly history: SoakHistory;
  /** The routers' log lines, for tracing a violation. */
  readonly log: readonly string[];
}

/** After the last step: time to recover, and time for which the recovered system is observed, milliseconds. */
const settleTime = 3_000;
const observationTime = 2_500;

const spareKeyCount = 12;

/**
 * From the run's first configuration until callers start, milliseconds: routers may serve by the one before it as long as
 * a revoked key may be served, and it doesn't have the spare keys.
 */
const warmUp = bounds.keyRevocation + 500;

const findProofAges = (lines: readonly LogLine[]): readonly number[] =>
  lines.map((line) => numberOf(line, "configurationAge")).filter((age) => age !== undefined);

/** An exception that ended a process, or a task in the background that failed. */
const isFault = ({ part, event }: LogLine): boolean =>
  (part === "daemon" && event === "fault") || (part === "tasks" && event === "failed");

/** Carries out a run and checks it. */
export const runSoak = async ({
  seed,
  plan,
  size,
  isSuspending = false,
  isLoaded = false,
  isPartitionable = false,
}: SoakRun): Promise<SoakOutcome> => {
  const spareKeys = Array.from({ length: spareKeyCount }, (_, index) => `key-spare-${index}`);
  // The process id gives concurrent runs different addresses; the seed alone decides the faults and requests.
  await using system = await startSoakSystem(
    size,
    process.pid + seed,
    isSuspending ? suspendableProgram : compiledProgram,
    isLoaded,
    isPartitionable,
  );
  system.publish(firstVersion, { tenants: createTenants(spareKeys) });
  await sleep(warmUp);
  const callers = startSoakCallers(system.routers, createRandom(seed, "callers"), spareKeys);
  const faultInjector = createFaultInjector(system, spareKeys, callers);
  const startedAt = performance.now();
  await Promise.all(
    plan.map(async (step) => {
      await sleep(Math.max(0, startedAt + step.at - performance.now()));
      await faultInjector.carryOut(step);
    }),
  );
  const lastStepEndedAt = performance.now();
  await sleep(settleTime + observationTime);
  await callers.stop();
  const { lines } = readLogLines(system.log.join("\n"));
  const history: SoakHistory = {
    callers: callers.records,
    replicas: system.replicas.map(({ replica, service, drainingSince }) => ({
      id: replica.id,
      service,
      runs: replica.runs,
      arrivals: replica.arrivals,
      orders: replica.orders,
      drainingSince,
    })),
    steps: faultInjector.steps,
    shutdowns: faultInjector.shutdowns,
    operator: faultInjector.operator,
    proofAges: findProofAges(lines),
    faults: lines.filter(isFault).map((line) => JSON.stringify(line)),
    bounds,
    lastStepEndedAt,
  };
  return { violations: findPlatformViolations(history), history, log: [...system.log] };
};
