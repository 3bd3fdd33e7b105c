/** Engines, log and weight store as stand-ins, with order holders beside them, for tests of roll-outs. */
import { readFile } from "node:fs/promises";
import { setTimeout as sleep } from "node:timers/promises";
import { Agent } from "undici";
import { systemClock } from "../../src/coordination/clock.ts";
import { createConfigurationIndex } from "../../src/coordination/configurationIndex.ts";
import type { ConfigurationIndex } from "../../src/coordination/configurationIndex.ts";
import { createLeaseHistory } from "../../src/coordination/leases/leaseHistory.ts";
import { startDeploymentOrders } from "../../src/coordination/orders/deploymentOrders.ts";
import type { DeploymentOrders } from "../../src/coordination/orders/deploymentOrders.ts";
import { parseConfiguration } from "../../src/protocol/configuration/check.ts";
import type { Configuration } from "../../src/protocol/configuration/schema.ts";
import { createResourceStack } from "../../src/protocol/resourceStack.ts";
import type { ListedVm } from "../../src/protocol/types.ts";
import { createEngineDirectory } from "../../src/state/engineDirectory.ts";
import { MemoryMetrics } from "../../src/state/MemoryMetrics.ts";
import { createHttpLogService } from "../../src/transport/httpLogService.ts";
import { HttpModelEngine } from "../../src/transport/HttpModelEngine.ts";
import { createEngineStandIn } from "../../standIns/engine/engine.ts";
import type { EngineStandIn, EngineStandInSettings } from "../../standIns/engine/types.ts";
import { createLogServiceStandIn } from "../../standIns/logService.ts";
import type { LogServiceStandIn } from "../../standIns/logService.ts";
import { createWeightStoreStandIn } from "../../standIns/stores.ts";
import type { WeightStoreStandIn } from "../../standIns/stores.ts";

/** The model whose engines are brought over, and the weights that they start with. */
export const model = "records-assistant";
export const initialWeights = "2026-05";

const leaseDuration = 600;
const pollInterval = 5;
/** Only so that a test that hangs ends. */
const longestWait = 10_000;

/** What to start. */
export interface RollOutSystemOptions {
  readonly engines?: number;
  readonly fencing?: "checked" | "ignored";
  readonly longestOrder?: number;
  readonly engineSettings?: Partial<EngineStandInSettings>;
  /** How long the weight store takes, milliseconds. */
  readonly loadMilliseconds?: number;
}

/** A holder process in all but name. */
export interface TestHolder extends AsyncDisposable {
  readonly orders: DeploymentOrders;
  /** Cuts it off from the log, as an outage of its network would. */
  readonly disconnectFromLog: () => Promise<void>;
}

/** A running system. Holders start by {@link RollOutSystem.startHolder}. */
export interface RollOutSystem extends AsyncDisposable {
  readonly engines: readonly EngineStandIn[];
  readonly logService: LogServiceStandIn;
  readonly weightStore: WeightStoreStandIn;
  readonly metrics: MemoryMetrics;
  readonly startHolder: (name: string) => TestHolder;
  /** Puts a configuration in force that names these weights and adapters. */
  readonly publish: (weightsVersion: string, adapters?: Configuration["models"][number]["adapters"]) => void;
  /** Marks an engine as leaving in the platform's list. */
  readonly markLeaving: (engine: EngineStandIn) => void;
  readonly until: (condition: () => boolean) => Promise<void>;
}

const changeConfiguration = (
  configuration: Configuration,
  weightsVersion: string,
  adapters: Configuration["models"][number]["adapters"],
  { fencing = "checked", longestOrder = 5_000 }: RollOutSystemOptions,
): Configuration => ({
  ...configuration,
  deployments: configuration.deployments.filter(({ name }) => name === "levant"),
  models: configuration.models.map((item) => ({ ...item, weightsVersion, adapters })),
  enginePools: configuration.enginePools.map((pool) => ({ ...pool, fencing, longestOrder })),
  limits: { ...configuration.limits, leaseDuration },
});

/** Starts stand-ins; every engine serves {@link model}. */
export const startRollOutSystem = async (options: RollOutSystemOptions = {}): Promise<RollOutSystem> => {
  await using resources = createResourceStack();
  const base = parseConfiguration(await readFile("examples/demo.json", "utf8"), "examples/demo.json");
  const logService = resources.use(await createLogServiceStandIn());
  const weightStore = resources.use(
    await createWeightStoreStandIn({ loadMilliseconds: options.loadMilliseconds ?? 5 }),
  );
  const engines: EngineStandIn[] = [];
  for (let index = 0; index < (options.engines ?? 4); index += 1) {
    const settings = { name: `engine-${index}`, model, weightsVersion: initialWeights };
    const { fencing = "checked" } = options;
    const more = { fencing, weightStoreUrl: weightStore.url, ...options.engineSettings };
    engines.push(resources.use(await createEngineStandIn({ ...settings, ...more })));
  }
  const holders = createResourceStack();
  const agent = new Agent();
  resources.defer(() => agent.destroy());
  const metrics = new MemoryMetrics();
  const leaving = new Set<string>();
  let index: ConfigurationIndex | undefined;
  let version = 0;

  const listVms = (): readonly ListedVm[] =>
    engines.map(({ name, url }) => ({
      id: name,
      dataCentre: "amman-north",
      url,
      role: "engine",
      pool: model,
      state: leaving.has(name) ? "leaving" : "live",
    }));

  const startHolder = (name: string): TestHolder => {
    const directory = createEngineDirectory();
    directory.applyVms(listVms());
    const log = createHttpLogService({ url: logService.url, timeout: 1_000 });
    const orders = startDeploymentOrders({
      log,
      history: createLeaseHistory(systemClock),
      holder: name,
      isCandidate: () => true,
      configuration: () => index,
      directory,
      clock: systemClock,
      metrics,
      connect: ({ url }) => new HttpModelEngine(url, agent),
      isListedLeaving: (id) => leaving.has(id),
      interval: 10,
      loadTimeout: 1_000,
    });
    let ended: Promise<void> | undefined;
    const end = async (): Promise<void> => {
      await orders[Symbol.asyncDispose]();
      await log[Symbol.asyncDispose]();
    };
    const dispose = (): Promise<void> => {
      ended ??= end();
      return ended;
    };
    holders.defer(dispose);
    return {
      orders,
      disconnectFromLog: async () => log[Symbol.asyncDispose](),
      [Symbol.asyncDispose]: dispose,
    };
  };

  const until = async (condition: () => boolean): Promise<void> => {
    const end = performance.now() + longestWait;
    while (!condition() && performance.now() < end) await sleep(pollInterval);
  };

  const owned = createResourceStack();
  owned.use(resources.move());
  owned.use(holders);
  return {
    engines,
    logService,
    weightStore,
    metrics,
    startHolder,
    publish: (weightsVersion, adapters = []) => {
      version += 1;
      index = createConfigurationIndex(version, changeConfiguration(base, weightsVersion, adapters, options));
    },
    markLeaving: (engine) => void leaving.add(engine.name),
    until,
    [Symbol.asyncDispose]: () => owned[Symbol.asyncDispose](),
  };
};
