/** Runs the router's own request handling against simulated engines, some of which fail for a while. */
import { ClaimLedger } from "../../src/coordination/claims/ClaimLedger.ts";
import { createConfigurationIndex } from "../../src/coordination/configurationIndex.ts";
import type { ConfigurationIndex } from "../../src/coordination/configurationIndex.ts";
import { createManualClock } from "../../src/coordination/manualClock.ts";
import type { ManualClock } from "../../src/coordination/manualClock.ts";
import { createCompletionRunner } from "../../src/coordination/requests/completionRunner.ts";
import type { RetryBudget } from "../../src/coordination/requests/retryBudget.ts";
import type { CompletionJob } from "../../src/coordination/requests/types.ts";
import { PredictiveScheduler } from "../../src/coordination/scheduling/PredictiveScheduler.ts";
import type { Configuration } from "../../src/protocol/configuration/schema.ts";
import { RequestError, upstreamError } from "../../src/protocol/errors.ts";
import { MemoryMetrics } from "../../src/state/MemoryMetrics.ts";
import { createEngineDirectory } from "../../src/state/engineDirectory.ts";
import type { EngineDirectory } from "../../src/state/engineDirectory.ts";
import { createRandom } from "../model/random.ts";
import type { Random } from "../model/random.ts";
import { simulationParameters } from "./constants.ts";
import { SimulatedEngine } from "./SimulatedEngine.ts";
import type { EngineCondition } from "./SimulatedEngine.ts";

const model = "records-assistant";
const className = "currency-check";
const organisationName = "petra-wings";

/** How requests are retried. */
export interface RetryPolicy {
  readonly name: string;
  readonly createBudget: (clock: ManualClock) => RetryBudget;
  /** Creates the source of the back-off jitter; always 0 means no back-off. */
  readonly random: (random: Random) => () => number;
  readonly hedges: boolean;
}

/** How engines fail, and the offered load. */
export interface RetryScenario {
  readonly name: string;
  readonly failure: EngineCondition;
  /** Number of engines that fail. */
  readonly failing: number;
  readonly requestsPerSecond: number;
}

/** Parameters of one run; the duration is in simulated milliseconds. */
export interface RetryRun {
  readonly policy: RetryPolicy;
  readonly scenario: RetryScenario;
  readonly seed: number;
  readonly configuration: Configuration;
  readonly duration: number;
}

/** Outcome of one request. */
export interface RequestRecord {
  readonly arrivedAt: number;
  readonly endedAt: number;
  /** Milliseconds; `undefined` if no token was received. */
  readonly firstTokenAfter: number | undefined;
  /** The answer was complete and its first token met the deadline. */
  readonly good: boolean;
}

/** Results of a run. */
export interface RetryResult {
  readonly records: readonly RequestRecord[];
  /** Times at which attempts reached engines. */
  readonly attempts: readonly number[];
  /** Milliseconds of slot time spent by the engines. */
  readonly work: number;
}

class NoClaims extends ClaimLedger {
  override acquire = () => Promise.reject(upstreamError("no claims here", "failed", "not_sent"));
}

const drainPromises = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

const createJob = (index: ConfigurationIndex, clock: ManualClock, hedges: boolean): CompletionJob => {
  const organisation = index.organisations.get(organisationName);
  const requestClass = index.classes.get(className);
  if (organisation === undefined || requestClass === undefined) throw new TypeError("unknown name");
  const now = clock.monotonic();
  return {
    context: {
      requestId: `request-${now}`,
      organisation,
      requestClass: hedges ? requestClass : { ...requestClass, hedgeAfter: undefined },
      idempotent: true,
      idempotencyKey: undefined,
      arrivedAt: now,
      firstTokenDeadline: now + requestClass.firstTokenDeadline,
      completionDeadline: now + requestClass.completionDeadline,
      configurationVersion: index.version,
    },
    request: {
      kind: "chat",
      model,
      adapter: undefined,
      stream: true,
      includeUsage: false,
      maximumTokens: 2 * simulationParameters.tokens,
      body: { messages: [] },
      segments: ["rules", "question"],
    },
    index,
  };
};

const listEngines = (directory: EngineDirectory, ids: readonly string[]): void =>
  directory.applyVms(
    ids.map((id) => ({
      id,
      dataCentre: "amman-north",
      url: `http://${id}`,
      role: "engine",
      pool: model,
      state: "live",
    })),
  );

/**
 * Adapts a configuration: weights version `1` as the simulated engines report, their slots, and practically no
 * limits.
 */
const adaptConfiguration = (configuration: Configuration): Configuration => ({
  ...configuration,
  organisations: configuration.organisations.map((item) => ({
    ...item,
    limits: { concurrentRequests: 10_000, requestsPerSecond: 10_000 },
  })),
  models: configuration.models.map((item) => ({ ...item, weightsVersion: "1" })),
  enginePools: configuration.enginePools.map((item) => ({
    ...item,
    maximumRunning: simulationParameters.slots,
  })),
});

/** Runs a retry policy through a failure scenario. */
export const runRetries = async (run: RetryRun): Promise<RetryResult> => {
  const clock = createManualClock();
  const index = createConfigurationIndex(1, adaptConfiguration(run.configuration));
  const directory = createEngineDirectory();
  const ids = Array.from({ length: simulationParameters.engines }, (_, number) => `${model}-${number}`);
  const engines = new Map(
    ids.map((id) => [id, new SimulatedEngine(clock, createRandom(run.seed, `engine ${id}`))] as const),
  );
  const attempts: number[] = [];
  const records: RequestRecord[] = [];
  listEngines(directory, ids);
  using scheduler = new PredictiveScheduler({
    directory,
    clock,
    configuration: () => index,
    dataCentre: "amman-north",
  });
  const arrivals = createRandom(run.seed, "arrivals");
  const runner = createCompletionRunner({
    directory,
    scheduler,
    claims: new NoClaims(),
    metrics: new MemoryMetrics(),
    clock,
    retryBudget: run.policy.createBudget(clock),
    random: run.policy.random(createRandom(run.seed, "back-off")),
    connect: ({ id }) => {
      const engine = engines.get(id);
      if (engine === undefined) throw upstreamError("unknown engine", "unreachable", "not_sent");
      return engine;
    },
  });

  const report = (): void => {
    for (const [id, engine] of engines) {
      const isUnreachable = engine.condition === "crashed" || engine.condition === "frozen";
      if (isUnreachable) directory.markFailed(id, clock.monotonic());
      else directory.applyLoad(id, engine.load(), clock.monotonic());
    }
    clock.after(simulationParameters.reportInterval, report);
  };

  const setFailure = (condition: EngineCondition): void => {
    for (const id of ids.slice(0, run.scenario.failing)) {
      const engine = engines.get(id);
      if (engine !== undefined) engine.condition = condition;
    }
  };

  const sendRequest = async (): Promise<void> => {
    const job = createJob(index, clock, run.policy.hedges);
    const { arrivedAt, firstTokenDeadline } = job.context;
    let firstTokenAfter: number | undefined;
    let isComplete = false;
    try {
      const answer = await runner.run(job, new AbortController().signal);
      for await (const { frames } of answer.batches) {
        if (frames.length > 0) firstTokenAfter ??= clock.monotonic() - arrivedAt;
      }
      isComplete = true;
    } catch (error) {
      if (!(error instanceof RequestError)) throw error;
    }
    const inTime = arrivedAt + (firstTokenAfter ?? Infinity) <= firstTokenDeadline;
    records.push({ arrivedAt, endedAt: clock.monotonic(), firstTokenAfter, good: isComplete && inTime });
  };

  let calls = 0;
  /** Records the current time for each call that reached an engine since the last check. */
  const recordCalls = (): void => {
    const now = [...engines.values()].reduce((sum, engine) => sum + engine.calls, 0);
    for (; calls < now; calls += 1) attempts.push(clock.monotonic());
  };

  const arrive = (): void => {
    if (clock.monotonic() >= run.duration) return;
    void sendRequest();
    clock.after(arrivals.exponential(1_000 / run.scenario.requestsPerSecond), arrive);
  };

  report();
  clock.after(simulationParameters.failFrom, () => setFailure(run.scenario.failure));
  clock.after(simulationParameters.failUntil, () => setFailure("well"));
  arrive();
  while (clock.monotonic() < run.duration + simulationParameters.window) {
    await drainPromises();
    recordCalls();
    clock.advanceTo(clock.nextTimer() ?? run.duration + simulationParameters.window);
  }
  const work = [...engines.values()].reduce((sum, engine) => sum + engine.work, 0);
  return { records, attempts, work };
};
