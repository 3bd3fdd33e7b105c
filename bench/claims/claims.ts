/**
 * `npm run bench -- claims`: what requests that may run at most once cost, in appends, bytes and latency, for
 * each way to see to it. Simulated time; the log service refuses appends over its rate.
 */
import { setImmediate as nextTurn } from "node:timers/promises";
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
const startOfTime = 1_800_000_000_000;
/** Time that each request runs between its claim and its outcome, milliseconds. */
const workTime = 20;
const answer = { status: 200, contentType: "application/json", body: Buffer.alloc(150, "x") };
const rates = [20, 100, 400, 1_600] as const;

interface Way {
  readonly name: string;
  readonly routers: number;
  readonly createLedger: ((log: SimulatedLog, clock: ManualClock) => ClaimLedger) | undefined;
}

const createBatched = (log: SimulatedLog, clock: ManualClock): ClaimLedger =>
  createLogClaimLedger({ log, clock, metrics: new MemoryMetrics(), retention: () => retention });

const ways: readonly Way[] = [
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

/** Lets time pass until nothing is left to happen. */
const advance = async (clock: ManualClock, isDone: () => boolean): Promise<void> => {
  for (;;) {
    await nextTurn();
    const next = clock.nextTimer();
    if (next !== undefined) clock.advanceTo(next);
    else if (isDone()) return;
  }
};

const measure = async (way: Way, rate: number, seconds: number, seed: number): Promise<Result> => {
  const clock = createManualClock(startOfTime);
  const log = new SimulatedLog(clock, logSettings);
  const random = createRandom(seed, way.name);
  const ledgers = Array.from({ length: way.routers }, () => way.createLedger?.(log, clock));
  const wanted = rate * seconds;
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
      clock.after(workTime, () => void result.claim.complete("status 200", answer));
  };

  let arrival = startOfTime;
  for (let index = 0; index < wanted; index += 1) {
    arrival += random.exponential(1_000 / rate);
    clock.after(arrival - startOfTime, () => void request(index));
  }
  const before = process.cpuUsage();
  await advance(clock, () => ended === wanted);
  const used = process.cpuUsage(before);
  latencies.sort((left, right) => left - right);
  return {
    way: way.name,
    rate,
    claims: latencies.length,
    refusedShare: refused / wanted,
    appendsPerSecond: (log.appends + log.refused) / seconds,
    latencies: [percentile(latencies, 0.5), percentile(latencies, 0.99)],
    bytesReadPerClaimAndRouter: log.bytesRead / latencies.length / way.routers,
    processorMicroseconds: (used.user + used.system) / wanted,
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
  for (const way of ways) {
    for (const rate of rates) results.push(await measure(way, rate, seconds, seeds[0] ?? 1));
  }
  if (json) console.log(JSON.stringify(results));
  else console.log(formatTable([heading, ...results.map(toRow)]));
};

/** Claims: ways against rates. */
export const claimsBench: Bench = {
  name: "claims",
  summary: "At-most-once claims: appends, bytes and latency of each way, at several rates",
  run,
};
