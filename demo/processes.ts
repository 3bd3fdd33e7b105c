/**
 * Starts the whole system as separate processes on 127.0.0.1: stand-ins for all external systems, routers in front of
 * them, and a published configuration. Used by the demo and by tests with real processes.
 */
import { spawn } from "node:child_process";
import { createHash } from "node:crypto";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import type { RouterSettings } from "../src/daemons/routerSettings.ts";
import { parseConfiguration } from "../src/protocol/configuration/check.ts";
import type { Configuration } from "../src/protocol/configuration/schema.ts";
import { PomelocleatError } from "../src/protocol/errors.ts";
import type { ListedVm } from "../src/protocol/types.ts";
import type { StandInKind, StartedProcess } from "../standIns/startProcess.ts";
import { startProcess, startStandInProcess } from "../standIns/startProcess.ts";
import { createResourceStack } from "../src/protocol/resourceStack.ts";

const routerModule = new URL("../src/daemons/routerMain.js", import.meta.url);
const commandModule = new URL("../src/commandLine/main.js", import.meta.url);
const readyPolls = 200;
const readyPollInterval = 50;
const sharedSecret = "demo-shared-secret-of-all-routers-0123456789";

/** The operators' API key of the routers that {@link startSystem} starts. */
export const operatorKey = "demo-operator-key";

/** A process of the system, with its role and place. */
export interface SystemProcess {
  readonly kind: StandInKind | "router";
  readonly name: string;
  readonly dataCentre: string;
  readonly process: StartedProcess;
}

/** The system to start. Paths are relative to the working directory. */
export interface SystemOptions {
  readonly configurationFile: string;
  /** The data centre of each router. */
  readonly routers: readonly string[];
  /** Settings that override the defaults of stand-ins, by kind. */
  readonly standIns?: Partial<Record<StandInKind, object>>;
  /** Settings that override the defaults of each router. */
  readonly routerSettings?: Partial<RouterSettings>;
}

/** The result of a run of the operators' client. */
export interface ClientResult {
  readonly code: number;
  readonly output: string;
  readonly errors: string;
}

/** A running system; disposing of it ends all of its processes. */
export interface System extends AsyncDisposable {
  readonly configuration: Configuration;
  readonly processes: () => readonly SystemProcess[];
  /** The routers that still run. */
  readonly routers: () => readonly SystemProcess[];
  readonly logService: StartedProcess;
  readonly vmList: StartedProcess;
  /** Starts another router, or a replacement under the name of one that ended. */
  readonly startRouter: (name: string, dataCentre: string) => Promise<SystemProcess>;
  /** Runs the operators' client. */
  readonly runClient: (args: readonly string[]) => Promise<ClientResult>;
  /** Updates the VM list to the processes that run now. */
  readonly publishVmList: () => Promise<void>;
}

/** Thrown if the VM list rejects an update, publishing fails, or a router does not become ready. */
export const SystemStartError = PomelocleatError.subclass("SystemStartError");

const systemStartError = (message: string): Error => new SystemStartError(message);

/** @returns The API key of an organisation in the example configurations. */
export const demoKey = (organisation: string): string => `demo-key-${organisation}`;

const runClient = (args: readonly string[]): Promise<ClientResult> =>
  new Promise((resolve) => {
    const child = spawn(process.execPath, [fileURLToPath(commandModule), ...args], {
      stdio: ["ignore", "pipe", "pipe"],
    });
    let output = "";
    let errors = "";
    child.stdout.on("data", (chunk: Buffer) => (output += chunk.toString("utf8")));
    child.stderr.on("data", (chunk: Buffer) => (errors += chunk.toString("utf8")));
    child.on("close", (code) => resolve({ code: code ?? -1, output, errors }));
  });

const vmRoles = {
  router: "router",
  engine: "engine",
  service: "service",
  keyValueStore: "keyValueStore",
  logService: undefined,
  vmList: undefined,
  weightStore: undefined,
} as const satisfies Record<SystemProcess["kind"], ListedVm["role"] | undefined>;

const poolOf = ({ kind, name }: SystemProcess): string =>
  kind === "router" ? "" : name.replace(/-\d+$/, "");

const listVmEntry = (item: SystemProcess): readonly ListedVm[] => {
  const role = vmRoles[item.kind];
  if (role === undefined) return [];
  const { peerUrl } = item.process.ready;
  const { name: id, dataCentre } = item;
  const peer = typeof peerUrl === "string" ? { peerUrl } : {};
  return [{ id, dataCentre, url: item.process.url, ...peer, role, pool: poolOf(item), state: "live" }];
};

interface Pool {
  readonly name: string;
  readonly replicas: number;
  readonly dataCentres: readonly string[];
}

/** @returns The replicas of all pools, assigned to each pool's data centres in turn. */
const listReplicas = <T extends Pool>(pools: readonly T[]) =>
  pools.flatMap((pool) =>
    Array.from({ length: pool.replicas }, (_, index) => ({
      pool,
      name: `${pool.name}-${index}`,
      dataCentre: pool.dataCentres[index % pool.dataCentres.length] ?? "",
    })),
  );

const waitUntilReady = async (url: string): Promise<void> => {
  for (let poll = 0; poll < readyPolls; poll += 1) {
    const answer = await fetch(`${url}/readyz`).catch(() => undefined);
    if (answer?.ok === true) return;
    await sleep(readyPollInterval);
  }
  throw systemStartError(`The router at ${url} did not become ready.`);
};

const readConfiguration = async (file: string): Promise<Configuration> =>
  parseConfiguration(await readFile(file, "utf8"), file);

type StartStandIn = (
  kind: StandInKind,
  name: string,
  dataCentre: string,
  settings: object,
) => Promise<StartedProcess>;

/** Starts a stand-in for every upstream in the configuration. */
const startUpstreams = async (
  configuration: Configuration,
  start: StartStandIn,
  weightStoreUrl: string,
): Promise<void> => {
  const engines = listReplicas(configuration.enginePools).map(({ pool, name, dataCentre }) => {
    const model = configuration.models.find((item) => item.name === pool.model);
    return start("engine", name, dataCentre, {
      model: pool.model,
      weightsVersion: model?.weightsVersion,
      adapters: model?.adapters.map(({ name: adapter, version }) => `${adapter}@${version}`),
      identity: pool.identity,
      fencing: pool.fencing,
      maximumRunning: pool.maximumRunning,
      weightStoreUrl,
      prefillMicrosecondsPerToken: 100,
      tokenMilliseconds: 2,
    });
  });
  const services = listReplicas(configuration.services).map(({ pool, name, dataCentre }) => {
    const { identity, deduplicatesByKey } = pool;
    return start("service", name, dataCentre, { service: pool.name, identity, deduplicatesByKey });
  });
  const stores = configuration.keyValueStores.flatMap(({ name, dataCentres }) =>
    dataCentres.map((dataCentre, index) => start("keyValueStore", `${name}-${index}`, dataCentre, {})),
  );
  await Promise.all([...engines, ...services, ...stores]);
};

/**
 * Starts the stand-ins and the routers, publishes the configuration, and waits until every router is ready.
 *
 * @throws {@link SystemStartError} if the VM list rejects an update, publishing fails, or a router does not become ready.
 */
export const startSystem = async (options: SystemOptions): Promise<System> => {
  await using resources = createResourceStack();
  const folder = await mkdtemp(join(tmpdir(), "pomelocleat-"));
  resources.defer(() => rm(folder, { recursive: true, force: true }));
  const configuration = await readConfiguration(options.configurationFile);
  const processes: SystemProcess[] = [];
  const ended = new Set<StartedProcess>();

  const register = (item: SystemProcess): SystemProcess => {
    resources.use(item.process);
    processes.push(item);
    void item.process.ended.then(() => ended.add(item.process));
    return item;
  };

  const startStandIn: StartStandIn = async (kind, name, dataCentre, settings) => {
    const changes = options.standIns?.[kind] ?? {};
    const started = await startStandInProcess(kind, { name, ...settings, ...changes });
    return register({ kind, name, dataCentre, process: started }).process;
  };

  const [logService, vmList, weightStore] = await Promise.all([
    startStandIn("logService", "log-service", "", {}),
    startStandIn("vmList", "vm-list", "", {}),
    startStandIn("weightStore", "weight-store", "", {}),
  ]);
  await startUpstreams(configuration, startStandIn, weightStore.url);

  const alive = (): readonly SystemProcess[] => processes.filter((item) => !ended.has(item.process));
  const routers = (): readonly SystemProcess[] => alive().filter((item) => item.kind === "router");

  const publishVmList = async (): Promise<void> => {
    const body = JSON.stringify({ vms: alive().flatMap(listVmEntry) });
    const answer = await fetch(`${vmList.url}/stand-in/vms`, { method: "POST", body });
    if (!answer.ok) throw systemStartError(`The VM list answered ${answer.status}: ${await answer.text()}`);
  };

  const startRouter = async (name: string, dataCentre: string): Promise<SystemProcess> => {
    const settings: Partial<RouterSettings> = {
      name,
      dataCentre,
      callers: { address: "127.0.0.1", port: 0 },
      peers: { address: "127.0.0.1", port: 0 },
      logService: logService.url,
      vmList: vmList.url,
      operatorKeyHash: createHash("sha256").update(operatorKey).digest("hex"),
      sharedSecret,
      vmListInterval: 200,
      loadInterval: 200,
      callerKeepAlive: 1_000,
      logs: "",
      ...options.routerSettings,
    };
    const file = join(folder, `${name}.json`);
    await writeFile(file, JSON.stringify(settings));
    const started = await startProcess(routerModule, ["--settings", file]);
    const item = register({ kind: "router", name, dataCentre, process: started });
    await publishVmList();
    return item;
  };

  await publishVmList();
  await Promise.all(options.routers.map((dataCentre, index) => startRouter(`router-${index}`, dataCentre)));
  const published = await runClient([
    ...["configuration", "publish", options.configurationFile, "--by", "demo"],
    ...["--log-service", logService.url],
  ]);
  if (published.code !== 0)
    throw systemStartError(`Publishing failed: ${published.errors}${published.output}`);
  await Promise.all(routers().map((router) => waitUntilReady(router.process.url)));

  const owned = resources.move();
  return {
    configuration,
    processes: alive,
    routers,
    logService,
    vmList,
    startRouter,
    runClient,
    publishVmList,
    [Symbol.asyncDispose]: async () => {
      // Includes routers that were started later.
      await Promise.all(routers().map(({ process }) => process[Symbol.asyncDispose]()));
      await owned[Symbol.asyncDispose]();
    },
  };
};
