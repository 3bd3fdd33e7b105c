/**
 * `npm run bench -- relay`: overhead that the router adds to a stream. One run compares callers that connect
 * directly to the engines, through a plain pipe, and through the router. Engines and callers run on separate
 * threads, so that this thread's event loop only relays.
 */
import { once } from "node:events";
import { performance } from "node:perf_hooks";
import { Worker } from "node:worker_threads";
import { startLocalRouter } from "./localRouter.ts";
import { startPlainPipe } from "./plainPipe.ts";
import { readMainThreadTime } from "./threadTime.ts";
import type { Bench, BenchOptions } from "../types.ts";
import type { CallerReport, EngineReady, PathMeasurement, RelayWorkerData } from "./types.ts";

const tokenMilliseconds = 20;
const callerThreads = 2;
const engineThreads = 3;
const startSpread = 1_000;
const key = "demo-key-petra-wings";

interface Load {
  readonly streams: number;
  readonly tokens: number;
}

const startWorker = (data: RelayWorkerData): Worker =>
  new Worker(new URL("./worker.js", import.meta.url), { workerData: data });

const median = (values: readonly number[]): number =>
  [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0;

const callOnThread = async (url: string, { streams, tokens }: Load): Promise<CallerReport> => {
  const startInterval = startSpread / streams;
  const worker = startWorker({ role: "caller", url, key, streams, tokens, startInterval });
  const [report] = (await once(worker, "message")) as [CallerReport];
  await worker.terminate();
  return report;
};

/** @returns The result of `run`, and the median growth of the heap while it ran, bytes. */
const heapGrowth = async <T>(
  run: () => Promise<T>,
): Promise<{ readonly result: T; readonly bytes: number }> => {
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const samples: number[] = [];
  const timer = setInterval(() => {
    globalThis.gc?.();
    samples.push(process.memoryUsage().heapUsed);
  }, startSpread);
  const result = await run();
  clearInterval(timer);
  return { result, bytes: median(samples) - before };
};

const measure = async (
  path: PathMeasurement["path"],
  urls: readonly string[],
  load: Load,
): Promise<PathMeasurement> => {
  const threadLoad = { ...load, streams: Math.ceil(load.streams / callerThreads) };
  const utilisationBefore = performance.eventLoopUtilization();
  const threadTimeBefore = readMainThreadTime();
  const reports = await Promise.all(
    Array.from({ length: callerThreads }, (_, index) =>
      callOnThread(urls[index % urls.length] ?? "", threadLoad),
    ),
  );
  const busyMilliseconds = performance.eventLoopUtilization(utilisationBefore).active;
  const threadTimeAfter = readMainThreadTime();
  const tokens = reports.reduce((sum, report) => sum + report.tokens, 0);
  return {
    path,
    streams: threadLoad.streams * callerThreads,
    tokens,
    medianTimeToFirstToken: median(reports.flatMap((report) => report.timesToFirstToken)),
    threadMicrosecondsPerToken:
      path === "direct" || threadTimeBefore === undefined || threadTimeAfter === undefined
        ? undefined
        : ((threadTimeAfter - threadTimeBefore) * 1e6) / tokens,
    busyMicrosecondsPerToken: path === "direct" ? undefined : (busyMilliseconds * 1000) / tokens,
    heapKibibytesPerStream: undefined,
  };
};

const measureHeap = async (urls: readonly string[], load: Load): Promise<number> => {
  const { bytes } = await heapGrowth(() => measure("router", urls, load));
  return bytes / 1024 / load.streams;
};

const runAt = async (load: Load, engineUrls: readonly string[]): Promise<readonly PathMeasurement[]> => {
  const direct = await measure("direct", engineUrls, load);
  const pipe = await (async () => {
    await using plain = await startPlainPipe(engineUrls[0] ?? "");
    return await measure("pipe", [plain.url], load);
  })();
  await using router = await startLocalRouter(engineUrls);
  const routed = await measure("router", [router.url], load);
  // The heap is measured in a separate run, since the forced garbage collections would count as busy time.
  const heapKibibytesPerStream =
    globalThis.gc === undefined ? undefined : await measureHeap([router.url], load);
  return [direct, pipe, { ...routed, heapKibibytesPerStream }];
};

const digits = (value: number | undefined, count: number): string => value?.toFixed(count) ?? "-";

const printTable = (measures: readonly PathMeasurement[]): void => {
  console.log("path    streams   tokens  TTFT ms  CPU µs/token  busy µs/token  heap KiB/stream");
  for (const item of measures) {
    const cells = [
      item.path.padEnd(6),
      String(item.streams).padStart(8),
      String(item.tokens).padStart(8),
      digits(item.medianTimeToFirstToken, 2).padStart(8),
      digits(item.threadMicrosecondsPerToken, 1).padStart(13),
      digits(item.busyMicrosecondsPerToken, 1).padStart(14),
      digits(item.heapKibibytesPerStream, 1).padStart(16),
    ];
    console.log(cells.join(" "));
  }
};

const ratios = (measures: readonly PathMeasurement[]) => {
  const [direct, pipe, routed] = measures;
  return {
    streams: routed?.streams,
    cpuRouterToPipe: (routed?.threadMicrosecondsPerToken ?? NaN) / (pipe?.threadMicrosecondsPerToken ?? NaN),
    busyRouterToPipe: (routed?.busyMicrosecondsPerToken ?? NaN) / (pipe?.busyMicrosecondsPerToken ?? NaN),
    timeToFirstTokenRouterToDirect:
      (routed?.medianTimeToFirstToken ?? NaN) / (direct?.medianTimeToFirstToken ?? NaN),
    tokensPerCore: 1e6 / (routed?.threadMicrosecondsPerToken ?? NaN),
  };
};

const run = async (options: BenchOptions): Promise<void> => {
  const engines = Array.from({ length: engineThreads }, () =>
    startWorker({ role: "engine", tokenMilliseconds }),
  );
  const ready = await Promise.all(engines.map((engine) => once(engine, "message") as Promise<[EngineReady]>));
  const urls = ready.map(([{ url }]) => url);
  const loads: readonly Load[] = options.quick
    ? [{ streams: 50, tokens: 100 }]
    : [50, 100, 200].map((streams) => ({ streams, tokens: 250 }));
  const results = [];
  for (const load of loads) {
    const measures = await runAt(load, urls);
    results.push({ measures, ratios: ratios(measures) });
    if (!options.json) {
      printTable(measures);
      console.log(JSON.stringify(ratios(measures)));
    }
  }
  if (options.json) console.log(JSON.stringify(results));
  await Promise.all(engines.map((engine) => engine.terminate()));
};

/** Cost of relaying a stream. */
export const relayBench: Bench = {
  name: "relay",
  summary: "overhead that the router adds to a stream, compared with a plain pipe and a direct connection",
  run,
};
