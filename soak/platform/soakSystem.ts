/** Routers as processes of their own before the platform's stand-in, with proxies between all of them. */
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import type { ResourceStack } from "../../src/protocol/resourceStack.ts";
import { createResourceStack } from "../../src/protocol/resourceStack.ts";
import type { ReplicaStandIn } from "../../standIns/platform/replica.ts";
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
import { eventsPerStream } from "./checks.ts";
import type { LoopbackProxy } from "./loopbackProxy.ts";
import { startLoopbackProxy } from "./loopbackProxy.ts";

/** How many of each there are. */
export interface SystemSize {
  readonly routers: number;
  readonly engines: number;
  readonly desks: number;
}

/** The time limits of the run, short so that they are reached often. Milliseconds unless named otherwise. */
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

/** One router: its place stays, processes come and go. */
export interface RouterSlot {
  readonly name: string;
  readonly url: string;
  readonly readinessUrl: string;
  /** A way of its own to the store, with faults of its own, behind a proxy of its own. */
  readonly store: StoreStandIn;
  readonly storeProxy: LoopbackProxy;
  readonly settingsFile: string;
  process: StartedProcess | undefined;
  /** It is being ended or replaced: nothing else strikes it meanwhile. */
  isBusy: boolean;
}

/** One replica behind a proxy. */
export interface ReplicaSlot {
  readonly replica: ReplicaStandIn;
  readonly service: string;
  readonly proxy: LoopbackProxy;
  drainingSince: number | undefined;
  /** Its answers report draining or ask for backoff. */
  isReporting: boolean;
}

/** A running system. */
export interface SoakSystem extends AsyncDisposable {
  readonly store: StoreStandIn;
  readonly routers: readonly RouterSlot[];
  readonly replicas: readonly ReplicaSlot[];
  /** Starts a process in a router's place; resolves once it listens. */
  readonly startRouter: (place: RouterSlot) => Promise<void>;
  readonly register: (place: ReplicaSlot, state: "ready" | "draining" | undefined) => void;
  readonly publish: (version: number, fields?: Readonly<Record<string, unknown>>) => void;
  readonly publishWeightsVersion: (version: number) => void;
  /**
   * The store is away for a time and returns from a copy; replicas then register again.
   *
   * @param age - How old the copy is at least, milliseconds.
   * @param away - Milliseconds.
   */
  readonly restoreStore: (age: number, away: number) => Promise<void>;
  readonly writeSettings: (place: RouterSlot, retryReserve: number) => Promise<void>;
  /** Lines that the routers have printed, the last ones. */
  readonly log: readonly string[];
}

/** What is started in a router's place. */
export interface RouterProgram {
  readonly module: URL;
  /** Options of the runtime. */
  readonly runtimeOptions: readonly string[];
}

/** The routers as they are run. */
export const compiledProgram: RouterProgram = {
  module: new URL("../../platform/main.js", import.meta.url),
  runtimeOptions: ["--enable-source-maps"],
};

/** The same on VMs that are suspended where others would freeze: their steady clocks don't count it. */
export const suspendableProgram: RouterProgram = {
  ...compiledProgram,
  runtimeOptions: [
    ...compiledProgram.runtimeOptions,
    "--import",
    new URL("../../standIns/suspendedClock.js", import.meta.url).href,
  ],
};

const ports = { callers: 8_080, readiness: 8_081, peers: 7_000 } as const;

/** Milliseconds. */
const heartbeatInterval = 500;

/** Copies of the store that are kept, and milliseconds between two. */
const mostCopies = 10;
const copyInterval = 400;

const mostLogLines = 200_000;

/** Each run has addresses of its own, so that several can run at once. */
const addressOf = (network: number, index: number): string =>
  `127.${100 + (network % 100)}.${Math.floor(network / 100) % 250}.${10 + index}`;

const settingsOf = (name: string, address: string, store: string, retryReserve: number): string =>
  JSON.stringify({
    name,
    dataCentre: "here",
    callers: `${address}:${ports.callers}`,
    readiness: `${address}:${ports.readiness}`,
    metricsPort: 0,
    peers: `${address}:${ports.peers}`,
    store,
    bounds: { ...bounds, retryReserve },
  });

const startReplicas = async (size: SystemSize, resources: ResourceStack): Promise<readonly ReplicaSlot[]> => {
  const places: ReplicaSlot[] = [];
  const add = async (service: string, replica: ReplicaStandIn): Promise<void> => {
    resources.use(replica);
    const proxy = resources.use(await startLoopbackProxy(replica.address));
    places.push({ replica, service, proxy, drainingSince: undefined, isReporting: false });
  };
  const events = { count: eventsPerStream, pause: 20 };
  for (let index = 0; index < size.engines; index += 1) {
    const model = { name: "m", version: 1 };
    await add("engines", await startReplicaStandIn({ id: `engine-${index}`, model, events, loadTime: 250 }));
  }
  for (let index = 0; index < size.desks; index += 1) {
    await add("desk", await startReplicaStandIn({ id: `desk-${index}` }));
  }
  return places;
};

/**
 * Starts everything.
 *
 * @param network - Picks the loopback addresses of the routers.
 * @param program - The routers' program.
 */
export const startSoakSystem = async (
  size: SystemSize,
  network: number,
  program: RouterProgram = compiledProgram,
): Promise<SoakSystem> => {
  const resources = createResourceStack();
  const directory = await mkdtemp(join(tmpdir(), "pomelocleat-soak-"));
  const store = resources.use(await startStoreStandIn());
  const writers = createStoreWriters(store);
  const replicas = await startReplicas(size, resources);
  const log: string[] = [];

  const registered = new Map<ReplicaSlot, "ready" | "draining" | undefined>();
  const register: SoakSystem["register"] = (place, state) => {
    registered.set(place, state);
    const { replica, service, proxy } = place;
    const address = proxy.address;
    const entry = {
      ...createRegistryEntry(service, replica, replica.version()),
      address,
      state: state ?? "",
    };
    writers.register(replica.id, state === undefined ? undefined : entry);
  };
  writers.publish(createConfiguration());
  for (const place of replicas) register(place, "ready");

  /** Replicas register again and again, with the weights that they run by then. */
  const beat = setInterval(() => {
    for (const place of replicas) if (place.drainingSince === undefined) register(place, "ready");
  }, heartbeatInterval);
  resources.defer(() => {
    clearInterval(beat);
    return undefined;
  });

  const routers: RouterSlot[] = [];
  for (let index = 0; index < size.routers; index += 1) {
    const name = `router-${index}`;
    const address = addressOf(network, index);
    const own = resources.use(await startStoreStandIn(store.topics));
    const storeProxy = resources.use(await startLoopbackProxy(own.address));
    const settingsFile = join(directory, `${name}.json`);
    await writeFile(settingsFile, settingsOf(name, address, storeProxy.address, bounds.retryReserve));
    routers.push({
      name,
      url: `http://${address}:${ports.callers}`,
      readinessUrl: `http://${address}:${ports.readiness}${readinessPath}`,
      store: own,
      storeProxy,
      settingsFile,
      process: undefined,
      isBusy: false,
    });
  }

  const copies: { readonly at: number; readonly copy: StoreBackup }[] = [];
  const copying = setInterval(() => {
    copies.push({ at: performance.now(), copy: store.topics.backUp() });
    copies.splice(0, copies.length - mostCopies);
  }, copyInterval);
  resources.defer(() => {
    clearInterval(copying);
    return undefined;
  });

  const returnStore: SoakSystem["restoreStore"] = async (age, away) => {
    const before = performance.now() - age;
    const [oldest] = copies;
    const { copy } = copies.findLast(({ at }) => at <= before) ?? oldest ?? { copy: store.topics.backUp() };
    const ways = [store, ...routers.map((place) => place.store)];
    for (const way of ways) {
      way.faults.isDown = true;
      way.closeConnections();
    }
    await sleep(away);
    store.topics.restore(copy);
    for (const way of ways) way.faults.isDown = false;
    for (const [place, state] of registered) register(place, state);
  };

  const keep = (line: string): void => {
    log.push(line);
    if (log.length > mostLogLines) log.splice(0, mostLogLines / 2);
  };

  const startRouter = async (place: RouterSlot): Promise<void> => {
    const environment = { [settingsVariable]: place.settingsFile };
    const { module, runtimeOptions } = program;
    place.process = await startProcess(module, [], { environment, onLine: keep, runtimeOptions });
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
    restoreStore: returnStore,
    writeSettings: (place, retryReserve) => {
      const address = new URL(place.url).hostname;
      return writeFile(
        place.settingsFile,
        settingsOf(place.name, address, place.storeProxy.address, retryReserve),
      );
    },
    [Symbol.asyncDispose]: async () => {
      await Promise.all(routers.map((place) => stopRouter(place)));
      await resources[Symbol.asyncDispose]();
      await rm(directory, { recursive: true, force: true });
    },
  };
};
