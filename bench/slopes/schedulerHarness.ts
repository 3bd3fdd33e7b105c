/** One router's beliefs and scheduler at a chosen size, without network or engines. */
import { setMaxListeners } from "node:events";
import { createConfigurationIndex } from "../../src/coordination/configurationIndex.ts";
import type { ConfigurationIndex } from "../../src/coordination/configurationIndex.ts";
import { createManualClock } from "../../src/coordination/manualClock.ts";
import type { Assignment, Scheduler, Work } from "../../src/coordination/scheduling/Scheduler.ts";
import type { Configuration } from "../../src/protocol/configuration/schema.ts";
import { hash64 } from "../../src/protocol/prefixLevels.ts";
import type { EngineLoad, ListedVm } from "../../src/protocol/types.ts";
import { createEngineDirectory } from "../../src/state/engineDirectory.ts";
import type { EngineDirectory } from "../../src/state/engineDirectory.ts";
import { createFleet } from "../model/fleet.ts";
import { createLevantMix } from "../model/mixes.ts";
import { createRandom, createWeightedIndex, zipfWeights } from "../model/random.ts";
import type { Random } from "../model/random.ts";
import type { Policy } from "../policies/Policy.ts";

/** How much a router has to do with. */
export interface Size {
  readonly engines: number;
  readonly organisations: number;
  /** Shared prefixes that requests have, over all organisations. */
  readonly prefixes: number;
}

/** A router's decisions, to be timed and weighed. */
export interface SchedulerHarness {
  readonly scheduler: Scheduler;
  readonly directory: EngineDirectory;
  /**
   * Makes this many decisions, each ended some decisions later.
   *
   * @returns Microseconds spent, the making of the requests left out.
   */
  readonly decide: (count: number) => Promise<number>;
  /** Takes this many load digests, of one engine after another. @returns Microseconds spent. */
  readonly takeDigests: (count: number) => number;
  /** Decisions that gave an engine at once, as a part of all. */
  readonly admitted: () => number;
}

const seed = 1;

/** Between two decisions, simulated milliseconds: 41 a second, as at the target. */
const interval = 24;

/** 12,000 replicas before 460 nodes. */
const enginesOfRouter = 26;

/** Attempts of this router that run at once: each lasts half a second. */
const underWay = 20;

/** Waiting for it lets other promises settle first. */
const settled = Promise.resolve();

const ignore = (): void => undefined;

/** Of rules, member and subject. */
const levelTokens: readonly number[] = [1000, 2000, 4500];

const promptTokens = 4630;

const scaleConfiguration = (base: Configuration, { engines, organisations }: Size): Configuration => {
  const [first] = base.organisations;
  const [pool] = base.enginePools;
  if (first === undefined || pool === undefined) return base;
  return {
    ...base,
    organisations: Array.from({ length: organisations }, (_, index) => ({
      ...first,
      name: `organisation-${index}`,
      standing: 1 + (index % 8),
      rivals: [],
      limits: { concurrentRequests: 1_000_000, requestsPerSecond: 1_000_000 },
    })),
    enginePools: [{ ...pool, replicas: engines }],
  };
};

const createVm = (index: number, pool: string, dataCentre: string): ListedVm => ({
  id: `engine-${index}`,
  dataCentre,
  url: `http://127.0.0.1/${index}`,
  role: "engine",
  pool,
  state: "live",
});

const createLoad = (index: number, running: number): EngineLoad => ({
  incarnation: `engine-${index}#1`,
  model: "records-assistant",
  weightsVersion: "2026-05",
  adapters: [],
  role: "mixed",
  running,
  waiting: 0,
  pendingPromptTokens: running * 100,
  cachedTokens: 40_000,
  leaving: false,
});

const keyOf = (text: string): string => hash64(text).toString(16).padStart(16, "0");

/** Makes works whose prefixes follow Zipf's law, each with a last level of its own. */
const createWorks = (index: ConfigurationIndex, size: Size, random: Random) => {
  const { organisations, classes, enginePools, models } = index.configuration;
  const pickPrefix = createWeightedIndex(zipfWeights(Math.min(size.prefixes, 1000), 1));
  const offset = (): number => Math.floor(random.uniform() * Math.ceil(size.prefixes / 1000)) * 1000;
  let sequence = 0;

  return (arrivedAt: number): Work => {
    sequence += 1;
    const prefix = (pickPrefix(random) + offset()) % size.prefixes;
    const organisation = organisations[prefix % organisations.length];
    const [requestClass] = classes;
    if (organisation === undefined || requestClass === undefined) {
      throw new RangeError("The configuration has no organisation or no class.");
    }
    const names = ["rules", "member", `subject ${prefix}`, `question ${sequence}`];
    return {
      context: {
        requestId: String(sequence),
        organisation,
        requestClass,
        idempotent: true,
        idempotencyKey: undefined,
        arrivedAt,
        firstTokenDeadline: arrivedAt + 10_000,
        completionDeadline: arrivedAt + 60_000,
        configurationVersion: index.version,
      },
      pools: enginePools.map(({ name }) => name),
      weightsVersions: models.map(({ weightsVersion }) => weightsVersion),
      levels: names.map((name, level) => ({
        key: keyOf(`${organisation.name} ${name}`),
        tokens: levelTokens[level] ?? promptTokens,
      })),
      promptTokens,
      maximumTokens: 8,
      excluded: new Set(),
    };
  };
};

const endAttempt = (assignment: Assignment, work: Work): void => {
  const cachedTokens = work.levels.at(-2)?.tokens ?? 0;
  assignment.markFirstToken();
  assignment.release({
    ended: "finished",
    incarnation: assignment.incarnation,
    firstTokenAfter: 20,
    usage: { promptTokens, completionTokens: 8, cachedTokens },
  });
};

/** Makes a router's decisions at a size. */
export const createSchedulerHarness = (policy: Policy, size: Size): SchedulerHarness => {
  const clock = createManualClock();
  const mix = createLevantMix();
  const configuration = scaleConfiguration(mix.configuration, size);
  const index = createConfigurationIndex(1, configuration);
  const [pool] = configuration.enginePools;
  const dataCentre = pool?.dataCentres[0] ?? "";
  const directory = createEngineDirectory();
  const vms = Array.from({ length: size.engines }, (_, engine) =>
    createVm(engine, pool?.name ?? "", dataCentre),
  );
  directory.applyVms(vms);
  vms.forEach(({ id }, engine) => directory.applyLoad(id, createLoad(engine, 1), 0));
  const scheduler = policy.createScheduler({
    name: "router-0",
    dataCentre,
    clock,
    directory,
    configuration: () => index,
    liveRouters: () => Math.ceil(size.engines / enginesOfRouter),
    seed,
    fleet: createFleet({ ...mix, configuration: { ...configuration, enginePools: [] } }, clock),
  });
  const createWork = createWorks(index, size, createRandom(seed, "slopes"));
  const open: { readonly assignment: Assignment; readonly work: Work }[] = [];
  let decisions = 0;
  let admissions = 0;

  const admit = (assignment: Assignment, work: Work): void => {
    admissions += 1;
    open.push({ assignment, work });
  };

  const endOldest = (): void => {
    if (open.length <= underWay) return;
    const oldest = open.shift();
    if (oldest !== undefined) endAttempt(oldest.assignment, oldest.work);
  };

  return {
    scheduler,
    directory,
    decide: async (count) => {
      const { signal } = new AbortController();
      setMaxListeners(0, signal);
      const start = clock.monotonic();
      const works = Array.from({ length: count }, (_, step) => createWork(start + interval * (step + 1)));
      const before = performance.now();
      for (const work of works) {
        clock.advanceTo(work.context.arrivedAt);
        decisions += 1;
        scheduler.assign(work, signal).then((assignment) => admit(assignment, work), ignore);
        await settled;
        endOldest();
      }
      return (performance.now() - before) * 1000;
    },
    takeDigests: (count) => {
      const loads = Array.from({ length: count }, (_, step) => createLoad(step % size.engines, step % 5));
      const before = performance.now();
      loads.forEach((load, step) => {
        directory.applyLoad(`engine-${step % size.engines}`, load, clock.monotonic());
      });
      return (performance.now() - before) * 1000;
    },
    admitted: () => admissions / Math.max(1, decisions),
  };
};
