/**
 * `npm run bench -- claims`: compares ways to run a request at most once by their appends, bytes read and added
 * latency. Runs in simulated time; the log service refuses appends over its rate limit.
 */
import { setImmediate as macrotask } from "node:timers/promises";
import type { ClaimLedger } from "../../src/coordination/claims/ClaimLedger.ts";
import { createLogClaimLedger } from "../../src/coordination/claims/logClaimLedger.ts";
import { createManualClock } from "../../src/coordination/manualClock.ts";
import type { ManualClock } from "../../src/coordination/manualClock.ts";
import type { RequestContext } from "../../src/protocol/types.ts";
import { MemoryMetrics } from "../../src/state/MemoryMetrics.ts";
import { createRandom } from "../model/random.ts";
import type { Row } from "../report/table.ts";
import { formatMilliseconds, formatShare, formatTable } from "../report/table.ts";
import type { Bench, BenchOptions } from "../types.ts";
import { SimulatedLog } from "./simulatedLog.ts";
import { SingleClaimLedger } from "./singleClaimLedger.ts";

const logSettings = { appendLatency: 2, readLatency: 1, appendsPerSecond: 400 } as const;
const retention = 3_600_000;
const startTime = 1_800_000_000_000;
/** Milliseconds between a request's claim and its outcome. */
const executionTime = 20;
const answer = { status: 200, contentType: "application/json", body: Buffer.alloc(150, "x") };
const rates = [20, 100, 400, 1_600] as const;

interface Strategy {
  readonly name: string;
  readonly routers: number;
  readonly createLedger: ((log: SimulatedLog, clock: ManualClock) => ClaimLedger) | undefined;
}

const createBatched = (log: SimulatedLog, clock: ManualClock): ClaimLedger =>
  createLogClaimLedger({ log, clock, metrics: new MemoryMetrics(), retention: () => retention });

const strategies: readonly Strategy[] = [
  { name: "append a record", routers: 8, createLedger: (log) => new SingleClaimLedger(log) },
  { name: "batched, 8 routers", routers: 8, createLedger: createBatched },
  { name: "batched, 1 owner", routers: 1, createLedger: createBatched },
  { name: "upstream dedup", routers: 8, createLedger: undefined },
];

interface Result {
  readonly way: string;
  readonly rate: number;
  readonly claims: number;
  readonly refusedShare: number;
  readonly appendsPerSecond: number;
  readonly latencies: readonly number[];
  readonly bytesReadPerClaimAndRouter: number;
  readonly processorMicroseconds: number;
}

const percentile = (sorted: readonly number[], share: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;

/** Advances the clock from timer to timer until no timer is left and the run is done. */
const runUntilIdle = async (clock: ManualClock, isDone: () => boolean): Promise<void> => {
  for (;;) {
    await macrotask();
    const next = clock.nextTimer();
    if (next !== undefined) clock.advanceTo(next);
    else if (isDone()) return;
  }
};

const measure = async (strategy: Strategy, rate: number, seconds: number, seed: number): Promise<Result> => {
  const clock = createManualClock(startTime);
  const log = new SimulatedLog(clock, logSettings);
  const random = createRandom(seed, strategy.name);
  const ledgers = Array.from({ length: strategy.routers }, () => strategy.createLedger?.(log, clock));
  const requestCount = rate * seconds;
  const latencies: number[] = [];
  let refused = 0;
  let ended = 0;

  const request = async (index: number): Promise<void> => {
    const startedAt = clock.monotonic();
    const context = {
      organisation: { name: "petra-wings" },
      idempotencyKey: `${Math.floor(clock.wall())}-${index}-key`,
      completionDeadline: startedAt + 10_000,
    } as RequestContext;
    const ledger = ledgers[random.index(ledgers.length)];
    const result = await ledger
      ?.acquire(context, "fingerprint-of-43-characters-as-in-routers-x")
      .catch(() => {
        refused += 1;
        return undefined;
      });
    if (ledger === undefined || result !== undefined) latencies.push(clock.monotonic() - startedAt);
    ended += 1;
    if (result?.kind === "claimed")
      clock.after(executionTime, () => void result.claim.complete("status 200", answer));
  };

  let arrival = startTime;
  for (let index = 0; index < requestCount; index += 1) {
    arrival += random.exponential(1_000 / rate);
    clock.after(arrival - startTime, () => void request(index));
  }
  const before = process.cpuUsage();
  await runUntilIdle(clock, () => ended === requestCount);
  const used = process.cpuUsage(before);
  latencies.sort((left, right) => left - right);
  return {
    way: strategy.name,
    rate,
    claims: latencies.length,
    refusedShare: refused / requestCount,
    appendsPerSecond: (log.appends + log.refused) / seconds,
    latencies: [percentile(latencies, 0.5), percentile(latencies, 0.99)],
    bytesReadPerClaimAndRouter: log.bytesRead / latencies.length / strategy.routers,
    processorMicroseconds: (used.user + used.system) / requestCount,
  };
};

const heading: Row = [
  "way",
  "requests/s",
  "refused %",
  "appends/s",
  "added p50 ms",
  "added p99 ms",
  "bytes read/claim/router",
  "CPU µs/claim (all routers, with the simulation)",
];

const toRow = (result: Result): Row => [
  result.way,
  String(result.rate),
  formatShare(result.refusedShare),
  result.appendsPerSecond.toFixed(0),
  ...result.latencies.map(formatMilliseconds),
  result.bytesReadPerClaimAndRouter.toFixed(0),
  result.processorMicroseconds.toFixed(0),
];

const run = async ({ json, quick, seeds }: BenchOptions): Promise<void> => {
  const seconds = quick ? 2 : 10;
  const results: Result[] = [];
  for (const strategy of strategies) {
    for (const rate of rates) results.push(await measure(strategy, rate, seconds, seeds[0] ?? 1));
  }
  if (json) console.log(JSON.stringify(results));
  else console.log(formatTable([heading, ...results.map(toRow)]));
};

/** Compares ways to claim requests at several request rates. */
export const claimsBench: Bench = {
  name: "claims",
  summary: "At-most-once claims: appends, bytes and latency by way and request rate",
  run,
};
