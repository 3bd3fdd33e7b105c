/** A scheduler over engines that exist only as reports, under a test's clock. */
import { createConfigurationIndex } from "../../src/coordination/configurationIndex.ts";
import type { ConfigurationIndex } from "../../src/coordination/configurationIndex.ts";
import { createManualClock } from "../../src/coordination/manualClock.ts";
import { PredictiveScheduler } from "../../src/coordination/scheduling/PredictiveScheduler.ts";
import type { PredictiveSchedulerDependencies } from "../../src/coordination/scheduling/PredictiveScheduler.ts";
import type { Assignment, AttemptReport, Work } from "../../src/coordination/scheduling/Scheduler.ts";
import { checkConfiguration } from "../../src/protocol/configuration/check.ts";
import type { Configuration } from "../../src/protocol/configuration/schema.ts";
import { RequestError } from "../../src/protocol/errors.ts";
import { computePrefixLevels } from "../../src/protocol/prefixLevels.ts";
import type { EngineLoad, ListedVm, Usage } from "../../src/protocol/types.ts";
import { createEngineDirectory } from "../../src/state/engineDirectory.ts";

/** The only pool and model of the fixture. */
export const poolName = "modelli";
const weightsVersion = "1";
const dataCentre = "catania-a";

const keyHashOf = (index: number): string => index.toString(16).padStart(64, "0");

/** Two interactive classes, one batch class, and organisations by name and standing. */
const configurationOf = (
  standings: Readonly<Record<string, number>>,
  maximumRunning: number,
  concurrentRequests: number,
): Configuration => {
  const common = { deployment: "trinacria", stallTimeout: 1_000, completionDeadline: 60_000, retryRatio: 0 };
  const check = checkConfiguration({
    schema: 1,
    deployments: [{ name: "trinacria", objective: { timeToFirstToken: 1, recomputation: 1 } }],
    dataCentres: [{ name: dataCentre, region: "sicily" }],
    organisations: Object.entries(standings).map(([name, standing], index) => ({
      name,
      deployment: "trinacria",
      keyHashes: [keyHashOf(index)],
      standing,
      models: [poolName],
      services: [],
      limits: { concurrentRequests, requestsPerSecond: 1_000 },
    })),
    classes: [
      { ...common, name: "price-lookup", kind: "interactive", firstTokenDeadline: 600, priority: 0 },
      { ...common, name: "line-tagging", kind: "interactive", firstTokenDeadline: 10_000, priority: 3 },
      { ...common, name: "reconciliation", kind: "batch", firstTokenDeadline: 60_000, priority: 8 },
    ],
    models: [
      {
        name: poolName,
        deployment: "trinacria",
        weightsVersion,
        defaultClass: "line-tagging",
        contextTokens: 100_000,
      },
    ],
    enginePools: [
      {
        name: poolName,
        deployment: "trinacria",
        model: poolName,
        dataCentres: [dataCentre],
        replicas: 1,
        maximumRunning,
        prefillTokensPerSecond: 10_000,
        cacheTokens: 100_000,
        fencing: "checked",
        identity: "checked",
        longestOrder: 1_000,
      },
    ],
    services: [],
    limits: { claimRetention: 120_000, leaseDuration: 10_000, simultaneousLoads: 2 },
  });
  if (!check.accepted) throw new TypeError(JSON.stringify(check.problems));
  return check.configuration;
};

/** What to build; engines are named `engine-0` and on. */
export interface FixtureOptions {
  readonly engines?: number;
  readonly maximumRunning?: number;
  readonly standings?: Readonly<Record<string, number>>;
  readonly concurrentRequests?: number;
  readonly dependencies?: Partial<PredictiveSchedulerDependencies>;
}

/** A piece of work, with what matters to a test. */
export interface WorkOptions {
  readonly organisation?: string;
  readonly requestClass?: string;
  /** Text of each level; 4 characters are one token. */
  readonly segments?: readonly string[];
  readonly excluded?: readonly string[];
}

/** What has become of a piece of work; neither is set while it waits. */
export interface AssignmentProgress {
  assignment: Assignment | undefined;
  refusal: RequestError | undefined;
}

/** Text of so many tokens that differs by name. */
export const textOf = (name: string, tokens: number): string => name.padEnd(tokens * 4, ".");

/** The report of an answer that came whole. */
export const finished = (assignment: Assignment, usage?: Usage): AttemptReport => ({
  ended: "finished",
  incarnation: assignment.incarnation,
  firstTokenAfter: 10,
  usage,
});

/** Makes a fixture whose engines are live and idle. */
export const createSchedulingFixture = (options: FixtureOptions = {}) => {
  const { engines = 4, maximumRunning = 4, concurrentRequests = 1_000 } = options;
  const configuration = configurationOf(
    options.standings ?? { noto: 1, ragusa: 1 },
    maximumRunning,
    concurrentRequests,
  );
  const index: ConfigurationIndex = createConfigurationIndex(1, configuration);
  const clock = createManualClock();
  const directory = createEngineDirectory();
  const ids = Array.from({ length: engines }, (_, number) => `engine-${number}`);

  const list = (names: readonly string[]): void =>
    directory.applyVms(
      names.map((id): ListedVm => ({
        id,
        dataCentre,
        url: `http://${id}`,
        role: "engine",
        pool: poolName,
        state: "live",
      })),
    );
  const report = (id: string, changes: Partial<EngineLoad> = {}): void =>
    directory.applyLoad(
      id,
      {
        incarnation: "a",
        model: poolName,
        weightsVersion,
        adapters: [],
        role: "serving",
        running: 0,
        waiting: 0,
        pendingPromptTokens: 0,
        cachedTokens: 0,
        leaving: false,
        ...changes,
      },
      clock.monotonic(),
    );
  list(ids);
  for (const id of ids) report(id);

  const scheduler = new PredictiveScheduler({
    directory,
    clock,
    configuration: () => index,
    dataCentre,
    ...options.dependencies,
  });

  let questions = 0;
  const createWork = (work: WorkOptions = {}): Work => {
    const organisation = index.organisations.get(work.organisation ?? "noto");
    const requestClass = index.classes.get(work.requestClass ?? "line-tagging");
    if (organisation === undefined || requestClass === undefined) throw new TypeError("unknown name");
    questions += 1;
    const segments = work.segments ?? [
      textOf("rules", 1_000),
      textOf("season", 1_000),
      `question ${questions}`,
    ];
    const scope = { organisation: organisation.name, model: poolName, adapter: undefined, weightsVersion };
    const levels = computePrefixLevels(scope, segments);
    const now = clock.monotonic();
    return {
      context: {
        requestId: `request-${questions}`,
        organisation,
        requestClass,
        idempotent: true,
        idempotencyKey: undefined,
        arrivedAt: now,
        firstTokenDeadline: now + requestClass.firstTokenDeadline,
        completionDeadline: now + requestClass.completionDeadline,
        configurationVersion: 1,
      },
      pools: [poolName],
      weightsVersions: [weightsVersion],
      levels,
      promptTokens: levels.at(-1)?.tokens ?? 0,
      maximumTokens: 16,
      excluded: new Set(work.excluded ?? []),
    };
  };

  const begin = (work: Work, signal: AbortSignal = new AbortController().signal): AssignmentProgress => {
    const begun: AssignmentProgress = { assignment: undefined, refusal: undefined };
    scheduler.assign(work, signal).then(
      (assignment) => (begun.assignment = assignment),
      (error: unknown) => {
        if (!(error instanceof RequestError)) throw error;
        begun.refusal = error;
      },
    );
    return begun;
  };

  const assign = (work: Work): Promise<Assignment> => scheduler.assign(work, new AbortController().signal);

  return { clock, directory, scheduler, index, ids, list, report, createWork, begin, assign };
};

/** Lets promises that are settled call back. */
export const settlePromises = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));
