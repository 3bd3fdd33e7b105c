/**
 * `npm run bench -- storeCalls`: calls to the platform's store by topic and kind. Real routers in three data centres, on
 * threads of this process, with the stand-ins of the store and the engines.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { Worker } from "node:worker_threads";
import type { ForwardingSettings } from "../../src/daemons/forwardingSettings.ts";
import { defaultVm } from "../../src/daemons/vmSettings.ts";
import { createResourceStack } from "../../src/protocol/resourceStack.ts";
import type { ReplicaStandIn } from "../../standIns/platform/replica.ts";
import { startReplicaStandIn } from "../../standIns/platform/replica.ts";
import type { StoreStandIn } from "../../standIns/platform/store.ts";
import { startStoreStandIn } from "../../standIns/platform/store.ts";
import {
  createConfiguration,
  createRegistryEntry,
  createStoreWriters,
} from "../../standIns/platform/platformSystem.ts";
import { formatTable } from "../report/table.ts";
import type { Row } from "../report/table.ts";
import type { Bench } from "../types.ts";
import type { AppliedChange, WorkerTask } from "./worker.ts";

const routerCounts = [12, 30, 60] as const;

/** Delay of the store's answers to the routers of each data centre, milliseconds. */
const answerDelays = [1, 20, 60] as const;
const dataCentres = answerDelays.length;
const engineCount = 20;
const threadCount = 3;

/** Time that an engine takes to load weights, milliseconds. */
const loadTime = 300;

/** How often a replica registers again, milliseconds. */
const heartbeatInterval = 1_000;

/** Durations of the phases without changes, and intervals between changes, milliseconds. */
const durations = {
  start: 8_000,
  calm: 30_000,
  weights: 3_500,
  configuration: 4_000,
  replica: 2_000,
} as const;

/** Changes in each phase. */
const changes = { weights: 6, configuration: 3, replica: 6 } as const;

/** The limits of the deployments that docs/HARD-LOAD.md describes. */
const bounds: ForwardingSettings["bounds"] = {
  keyRevocation: 5_000,
  drain: 3_000,
  lease: 3_000,
  weights: 6_000,
  shutdownGraceSeconds: 5,
  retryRatio: 0.2,
  retryWindowSeconds: 10,
  retryReserve: 50,
  limitWindowSeconds: 8,
  limitOvershoot: 0.1,
  limitReserve: 0,
};

/** Consecutive port numbers for the peers' datagrams. */
const firstPeerPort = 21_000;

const createSettings = (index: number, store: StoreStandIn): ForwardingSettings => ({
  name: `router-${index}`,
  dataCentre: `data-centre-${index % dataCentres}`,
  callers: { address: "127.0.0.1", port: 0 },
  readiness: { address: "127.0.0.1", port: 0 },
  metricsPort: 0,
  peers: { address: "127.0.0.1", port: firstPeerPort + index },
  store: { address: "127.0.0.1", port: Number(store.address.split(":")[1]) },
  vm: defaultVm,
  guarantees: [],
  batchMemory: false,
  bounds,
});

const toSeconds = (milliseconds: number): string => (milliseconds / 1_000).toFixed(2);

/** Starts the engines and registers them periodically. */
const startEngines = async (resources: ReturnType<typeof createResourceStack>, store: StoreStandIn) => {
  const writers = createStoreWriters(store);
  const engines: ReplicaStandIn[] = [];
  const absent = new Set<ReplicaStandIn>();
  const model = { name: "m", version: 1 };
  for (let index = 0; index < engineCount; index += 1)
    engines.push(resources.use(await startReplicaStandIn({ id: `engine-${index}`, model, loadTime })));
  const entryOf = (engine: ReplicaStandIn) => createRegistryEntry("engines", engine, engine.version());
  const register = (engine: ReplicaStandIn): void => writers.register(engine.id, entryOf(engine));
  engines.forEach(register);
  const heartbeat = setInterval(
    () => engines.filter((engine) => !absent.has(engine)).forEach(register),
    heartbeatInterval,
  );
  resources.defer(() => {
    clearInterval(heartbeat);
    return undefined;
  });
  return {
    ...writers,
    /** Lets one engine leave the registry, or return. */
    changeEngine: (index: number): void => {
      const engine = engines[index % engineCount];
      if (engine === undefined) return;
      if (absent.delete(engine)) register(engine);
      else {
        absent.add(engine);
        writers.register(engine.id, undefined);
      }
    },
  };
};

/** Measures the calls of a number of routers. */
export const measureStoreCalls = async (routers: number, factor = 1) => {
  const resources = createResourceStack();
  const store = resources.use(await startStoreStandIn());
  const stores: StoreStandIn[] = [];
  for (const delay of answerDelays) {
    const near = resources.use(await startStoreStandIn(store.topics));
    near.faults.answerDelay = delay;
    stores.push(near);
  }
  const countCalls = (): ReadonlyMap<string, number> => {
    const counts = new Map<string, number>();
    for (const { callsByKind } of stores)
      for (const [kind, count] of callsByKind) counts.set(kind, (counts.get(kind) ?? 0) + count);
    return counts;
  };
  const platform = await startEngines(resources, store);
  platform.publish(createConfiguration());
  platform.publishWeightsVersion(1);
  const phases: { readonly name: string; readonly calls: ReadonlyMap<string, number> }[] = [];
  const applied: AppliedChange[] = [];
  const published = new Map<string, number>();

  const measure = async (name: string, run: () => Promise<unknown>): Promise<void> => {
    const before = countCalls();
    await run();
    const calls = [...countCalls()].map(([kind, count]) => [kind, count - (before.get(kind) ?? 0)] as const);
    phases.push({ name, calls: new Map(calls) });
  };
  const repeat = async (count: number, interval: number, change: (index: number) => void): Promise<void> => {
    for (let index = 0; index < count; index += 1) {
      change(index);
      await sleep(interval * factor);
    }
  };
  const publish = (event: string, version: number, write: () => void): void => {
    published.set(`${event} ${version}`, performance.timeOrigin + performance.now());
    write();
  };

  await measure("start", async () => {
    const settings = Array.from({ length: routers }, (_, index) =>
      createSettings(index, stores[index % dataCentres] ?? store),
    );
    for (let thread = 0; thread < threadCount; thread += 1) {
      const task: WorkerTask = { routers: settings.filter((_, index) => index % threadCount === thread) };
      const worker = new Worker(new URL("./worker.js", import.meta.url), { workerData: task });
      worker.on("message", (change: AppliedChange) => applied.push(change));
      resources.defer(() => worker.terminate());
    }
    await sleep(durations.start);
  });
  await measure("calm", () => sleep(durations.calm * factor));
  await measure("weights", () =>
    repeat(changes.weights, durations.weights, (index) =>
      publish("weights_wanted", index + 2, () => platform.publishWeightsVersion(index + 2)),
    ),
  );
  await measure("configurations", () =>
    repeat(changes.configuration, durations.configuration, (index) =>
      publish("applied", index + 2, () => platform.publish(createConfiguration(index + 2))),
    ),
  );
  await measure("replicas", () =>
    repeat(changes.replica, durations.replica, (index) => platform.changeEngine(Math.floor(index / 2))),
  );
  await resources[Symbol.asyncDispose]();

  const delays = [...published].map(([key, at]) => {
    const times = applied
      .filter(({ event, version }) => `${event} ${version}` === key)
      .map((each) => each.at - at);
    return { key, routers: times.length, last: Math.max(...times) };
  });
  return { routers, phases, delays };
};

type Measured = Awaited<ReturnType<typeof measureStoreCalls>>;

const tableOf = ({ routers, phases, delays }: Measured): string => {
  const kinds = [...new Set(phases.flatMap(({ calls }) => [...calls.keys()]))].sort();
  const header: Row = [`${routers} routers: calls`, ...phases.map(({ name }) => name)];
  const sum = (calls: ReadonlyMap<string, number>): number =>
    [...calls.values()].reduce((total, count) => total + count, 0);
  const rows: Row[] = kinds.map((kind) => [kind, ...phases.map(({ calls }) => String(calls.get(kind) ?? 0))]);
  rows.push(["all", ...phases.map(({ calls }) => String(sum(calls)))]);
  const applied: Row[] = delays.map(({ key, routers: count, last }) => [key, String(count), toSeconds(last)]);
  return [
    formatTable([header, ...rows]),
    formatTable([["change", "routers", "last router after (s)"], ...applied]),
  ].join("\n\n");
};

/** Calls to the store by topic and kind, and the time until the last router knows a change. */
export const storeCallsBench: Bench = {
  name: "storeCalls",
  summary: "calls to the platform's store by topic and kind, at rest and for each kind of change",
  run: async ({ json, quick, only }) => {
    const counts = routerCounts.filter((count) => only.length === 0 || only.includes(String(count)));
    const results = [];
    for (const count of quick ? counts.slice(0, 1) : counts) results.push(await measureStoreCalls(count));
    console.log(json ? JSON.stringify(results) : results.map(tableOf).join("\n\n"));
  },
};
