/** A system with routers as processes and the platform's stand-in, with a proxy before each store and replica. */
import { renameSync, writeFileSync } from "node:fs";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import type { ResourceStack } from "../../src/protocol/resourceStack.ts";
import { createResourceStack } from "../../src/protocol/resourceStack.ts";
import type { PartitionFile } from "../../standIns/platform/partitionedProcess.ts";
import { partitionFileVariable } from "../../standIns/platform/partitionedProcess.ts";
import type { PartitionMode } from "../../standIns/platform/routerNetwork.ts";
import type { ExecutedRequest, ReplicaStandIn } from "../../standIns/platform/replica.ts";
import { startReplicaStandIn } from "../../standIns/platform/replica.ts";
import type { StoreStandIn } from "../../standIns/platform/store.ts";
import { startStoreStandIn } from "../../standIns/platform/store.ts";
import type { StoreBackup } from "../../standIns/platform/topics.ts";
import {
  createConfiguration,
  createStoreWriters,
  createRegistryEntry,
  readinessPath,
  settingsVariable,
} from "../../standIns/platform/platformSystem.ts";
import type { StartedProcess } from "../../standIns/startProcess.ts";
import { startProcess } from "../../standIns/startProcess.ts";
import { firstReplicaStart } from "./constants.ts";
import { hasDeadlyPart } from "../../tests/support/crashingReplicas.ts";
import { eventsPerStream } from "./checks.ts";
import type { LoopbackProxy } from "./loopbackProxy.ts";
import { startLoopbackProxy } from "./loopbackProxy.ts";

/** Number of routers, engines and replicas of the plain service. */
export interface SystemSize {
  readonly routers: number;
  readonly engines: number;
  readonly desks: number;
}

/** The routers' limits, short so that they are reached often. Milliseconds unless the name says otherwise. */
export const bounds = {
  keyRevocation: 2_000,
  drain: 800,
  lease: 1_000,
  weights: 6_000,
  shutdownGraceSeconds: 4,
  retryRatio: 0.2,
  retryWindowSeconds: 10,
  retryReserve: 50,
} as const;

/** The slot of a router: its name, addresses and store stay the same while its process is replaced. */
export interface RouterSlot {
  readonly name: string;
  readonly url: string;
  readonly readinessUrl: string;
  /** The router's own server for the shared store, with faults and a proxy of its own. */
  readonly store: StoreStandIn;
  readonly storeProxy: LoopbackProxy;
  readonly settingsFile: string;
  readonly partitionFile: string;
  /** Partitions its processes from all replicas, `null` ends it; does nothing in runs without partitions. */
  readonly partition: (mode: PartitionMode | null) => void;
  process: StartedProcess | undefined;
  /** True while the process is stopped, frozen or replaced: no other step affects it meanwhile. */
  isBusy: boolean;
}

/** A replica behind a proxy. */
export interface ReplicaSlot {
  readonly replica: ReplicaStandIn;
  readonly service: string;
  readonly proxy: LoopbackProxy;
  drainingSince: number | undefined;
  /** The start time in its entry, Unix milliseconds by a clock that may step; `undefined` before its first restart. */
  bornAt: number | undefined;
  /** True while its answers report draining or ask for backoff. */
  isReporting: boolean;
  /** True from a crash until it is back. */
  isCrashed: boolean;
}

/** A running system. */
export interface SoakSystem extends AsyncDisposable {
  readonly store: StoreStandIn;
  readonly routers: readonly RouterSlot[];
  readonly replicas: readonly ReplicaSlot[];
  /** Starts a router's process; resolves once it listens. */
  readonly startRouter: (slot: RouterSlot) => Promise<void>;
  readonly register: (slot: ReplicaSlot, state: "ready" | "draining" | undefined) => void;
  readonly publish: (version: number, fields?: Readonly<Record<string, unknown>>) => void;
  readonly publishWeightsVersion: (version: number) => void;
  /**
   * Makes the store unavailable for a time and restores it from a backup; the replicas then register again.
   *
   * @param age - Minimum age of the backup, milliseconds; the oldest one is used if none is old enough.
   * @param outage - Duration of the outage, milliseconds.
   */
  readonly restoreStore: (age: number, outage: number) => Promise<void>;
  readonly writeSettings: (slot: RouterSlot, retryReserve: number) => Promise<void>;
  /** The most recent lines printed by the routers. */
  readonly log: readonly string[];
}

/** The program that routers run. */
export interface RouterProgram {
  readonly module: URL;
  /** Options of Node.js. */
  readonly runtimeOptions: readonly string[];
}

/** The routers' program as it is deployed. */
export const compiledProgram: RouterProgram = {
  module: new URL("../../platform/main.js", import.meta.url),
  runtimeOptions: ["--enable-source-maps"],
};

/** The same program on simulated suspendable VMs: its monotonic clock does not count the time while it is stopped. */
export const suspendableProgram: RouterProgram = {
  ...compiledProgram,
  runtimeOptions: [
    ...compiledProgram.runtimeOptions,
    "--import",
    new URL("../../standIns/suspendedClock.js", import.meta.url).href,
  ],
};

/** Options of Node.js that let a process be partitioned from the replicas. */
const partitionOptions: readonly string[] = [
  "--import",
  new URL("../../standIns/platform/partitionedProcess.js", import.meta.url).href,
];

const ports = { callers: 8_080, readiness: 8_081, peers: 7_000 } as const;

/** How often replicas register again, milliseconds. */
const heartbeatInterval = 500;

/** Number of backups of the store that are kept, and milliseconds between two. */
const maxBackups = 10;
const backupInterval = 400;

const maxLogLines = 200_000;

/** The smallest VM that routers are deployed on. */
const smallestVm = { memoryMegabytes: 88, descriptors: 3_075 } as const;

/** Creates a router's loopback address; concurrent runs use different networks. */
const createRouterAddress = (network: number, index: number): string =>
  `127.${100 + (network % 100)}.${Math.floor(network / 100) % 250}.${10 + index}`;

/** Settings that enable the features under load; the least memory for slow readers that a few of them exceed. */
const loadSettings = {
  guarantees: ["pressure"],
  replicaSpeeds: { minSpread: 1.5 },
  batchMemory: true,
  callerBufferBytes: 8_000_000,
} as const;

/** Load of the engines; their speeds are repeated in this order, and the memory is the configured one. */
const engineLoad = { prefillRate: 100, memoryTokens: 200_000, speeds: [0.7, 0.7, 1.7] } as const;

const createSettings = (
  name: string,
  address: string,
  store: string,
  retryReserve: number,
  isLoaded: boolean,
): string =>
  JSON.stringify({
    ...(isLoaded ? loadSettings : {}),
    name,
    dataCentre: "here",
    callers: `${address}:${ports.callers}`,
    readiness: `${address}:${ports.readiness}`,
    metricsPort: 0,
    peers: `${address}:${ports.peers}`,
    store,
    vm: smallestVm,
    bounds: { ...bounds, retryReserve },
  });

const noPartition: RouterSlot["partition"] = () => undefined;

/** @returns Writes the file that partitions a router's processes from the replicas at these ports. */
const writePartition =
  (file: string, ports: readonly number[]): RouterSlot["partition"] =>
  (mode) => {
    const content: PartitionFile = { ports, mode };
    // Replaced at once, so that no process reads a part of it; steps that overlap must not share the other file.
    writeFileSync(`${file}.new`, JSON.stringify(content));
    renameSync(`${file}.new`, file);
  };

/** Time from a crash until the replica is back, milliseconds. */
const crashTime = 700;

/** A crash resets the connections and closes the port; the replica comes back as a new incarnation. */
const crashAndRestart = async (slot: ReplicaSlot, register: SoakSystem["register"]): Promise<void> => {
  if (slot.isCrashed) return;
  slot.isCrashed = true;
  slot.proxy.setMode("refuse");
  await sleep(crashTime);
  slot.proxy.setMode("pass");
  slot.isCrashed = false;
  slot.bornAt = (slot.bornAt ?? firstReplicaStart) + crashTime;
  if (slot.drainingSince === undefined) register(slot, "ready");
};

const startReplicas = async (
  size: SystemSize,
  resources: ResourceStack,
  isLoaded: boolean,
  register: SoakSystem["register"],
): Promise<readonly ReplicaSlot[]> => {
  const slots: ReplicaSlot[] = [];
  /** The proxy crashes in place of the stand-in, which would not come back. */
  const crashOnDeadlyPart = (id: string, run: ExecutedRequest): "never" => {
    const slot = slots.find(({ replica }) => replica.id === id);
    if (slot !== undefined && hasDeadlyPart(run)) void crashAndRestart(slot, register);
    return "never";
  };
  const add = async (service: string, replica: ReplicaStandIn): Promise<void> => {
    resources.use(replica);
    const proxy = resources.use(await startLoopbackProxy(replica.address));
    slots.push({
      replica,
      service,
      proxy,
      drainingSince: undefined,
      bornAt: undefined,
      isReporting: false,
      isCrashed: false,
    });
  };
  const events = { count: eventsPerStream, pause: 20 };
  for (let index = 0; index < size.engines; index += 1) {
    const model = { name: "m", version: 1 };
    const speed = engineLoad.speeds[index % engineLoad.speeds.length] ?? 1;
    const load = isLoaded ? { load: { ...engineLoad, speed } } : {};
    const id = `engine-${index}`;
    const crashesOn = (run: ExecutedRequest): "never" => crashOnDeadlyPart(id, run);
    const settings = { id, model, events, loadTime: 250, crashesOn, ...load };
    await add("engines", await startReplicaStandIn(settings));
  }
  for (let index = 0; index < size.desks; index += 1) {
    await add("desk", await startReplicaStandIn({ id: `desk-${index}` }));
  }
  return slots;
};

/**
 * Starts the store, the replicas, their proxies and the routers.
 *
 * @param network - Selects the loopback addresses of the routers.
 * @param program - The program of the routers.
 * @param isLoaded - Whether engines compute prompts at uneven speeds in bounded memory and routers have the features
 *   under load.
 * @param isPartitionable - Whether routers can be partitioned from the replicas.
 */
export const startSoakSystem = async (
  size: SystemSize,
  network: number,
  program: RouterProgram = compiledProgram,
  isLoaded = false,
  isPartitionable = false,
): Promise<SoakSystem> => {
  const resources = createResourceStack();
  const directory = await mkdtemp(join(tmpdir(), "pomelocleat-soak-"));
  const store = resources.use(await startStoreStandIn());
  const writers = createStoreWriters(store);
  const log: string[] = [];

  const registered = new Map<ReplicaSlot, "ready" | "draining" | undefined>();
  const register: SoakSystem["register"] = (slot, state) => {
    registered.set(slot, state);
    const { replica, service, proxy } = slot;
    const address = proxy.address;
    const entry = {
      ...createRegistryEntry(service, replica, replica.version()),
      address,
      state: state ?? "",
      ...(slot.bornAt === undefined ? {} : { born: slot.bornAt }),
    };
    writers.register(replica.id, state === undefined ? undefined : entry);
  };
  const replicas = await startReplicas(size, resources, isLoaded, register);
  writers.publish(createConfiguration());
  for (const slot of replicas) register(slot, "ready");

  /** Registers the replicas periodically with their current weights. */
  const heartbeat = setInterval(() => {
    for (const slot of replicas) if (slot.drainingSince === undefined) register(slot, "ready");
  }, heartbeatInterval);
  resources.defer(() => {
    clearInterval(heartbeat);
    return undefined;
  });

  const replicaPorts = replicas.map(({ proxy }) => Number(proxy.address.split(":")[1]));
  const routers: RouterSlot[] = [];
  for (let index = 0; index < size.routers; index += 1) {
    const name = `router-${index}`;
    const address = createRouterAddress(network, index);
    const routerStore = resources.use(await startStoreStandIn(store.topics));
    const storeProxy = resources.use(await startLoopbackProxy(routerStore.address));
    const settingsFile = join(directory, `${name}.json`);
    const partitionFile = join(directory, `${name}-partition.json`);
    const partition = isPartitionable ? writePartition(partitionFile, replicaPorts) : noPartition;
    partition(null);
    await writeFile(
      settingsFile,
      createSettings(name, address, storeProxy.address, bounds.retryReserve, isLoaded),
    );
    routers.push({
      name,
      url: `http://${address}:${ports.callers}`,
      readinessUrl: `http://${address}:${ports.readiness}${readinessPath}`,
      store: routerStore,
      storeProxy,
      settingsFile,
      partition,
      partitionFile,
      process: undefined,
      isBusy: false,
    });
  }

  const backups: { readonly at: number; readonly backup: StoreBackup }[] = [];
  const backupTimer = setInterval(() => {
    backups.push({ at: performance.now(), backup: store.topics.backUp() });
    backups.splice(0, backups.length - maxBackups);
  }, backupInterval);
  resources.defer(() => {
    clearInterval(backupTimer);
    return undefined;
  });

  const restoreStore: SoakSystem["restoreStore"] = async (age, outage) => {
    const before = performance.now() - age;
    const [oldest] = backups;
    const { backup } = backups.findLast(({ at }) => at <= before) ??
      oldest ?? { backup: store.topics.backUp() };
    const stores = [store, ...routers.map((slot) => slot.store)];
    for (const each of stores) {
      each.faults.isDown = true;
      each.closeConnections();
    }
    await sleep(outage);
    store.topics.restore(backup);
    for (const each of stores) each.faults.isDown = false;
    for (const [slot, state] of registered) register(slot, state);
  };

  const appendLogLine = (line: string): void => {
    log.push(line);
    if (log.length > maxLogLines) log.splice(0, maxLogLines / 2);
  };

  const startRouter = async (slot: RouterSlot): Promise<void> => {
    const environment: Record<string, string> = { [settingsVariable]: slot.settingsFile };
    if (isPartitionable) environment[partitionFileVariable] = slot.partitionFile;
    const runtimeOptions = [...program.runtimeOptions, ...(isPartitionable ? partitionOptions : [])];
    const options = { environment, onLine: appendLogLine, runtimeOptions };
    slot.process = await startProcess(program.module, [], options);
  };
  const stopRouter = async ({ process }: RouterSlot): Promise<void> => {
    await process?.[Symbol.asyncDispose]();
  };
  await Promise.all(routers.map(startRouter));

  return {
    store,
    routers,
    replicas,
    log,
    startRouter,
    register,
    publish: (version, fields) => writers.publish(createConfiguration(version, fields)),
    publishWeightsVersion: writers.publishWeightsVersion,
    restoreStore,
    writeSettings: (slot, retryReserve) => {
      const address = new URL(slot.url).hostname;
      return writeFile(
        slot.settingsFile,
        createSettings(slot.name, address, slot.storeProxy.address, retryReserve, isLoaded),
      );
    },
    [Symbol.asyncDispose]: async () => {
      await Promise.all(routers.map((slot) => stopRouter(slot)));
      await resources[Symbol.asyncDispose]();
      await rm(directory, { recursive: true, force: true });
    },
  };
};
