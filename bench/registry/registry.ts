/**
 * `npm run bench -- registry`: how long routers keep sending requests to a replica after the store has accepted that it
 * drains, where the routers that read the store for others knew it from an answer before. The modules that serve run
 * in simulated time; the store and the network are simulated.
 */
import { setImmediate as settle } from "node:timers/promises";
import { pause } from "../../src/coordination/clock.ts";
import { createConfigurationState } from "../../src/coordination/forwarding/configurationState.ts";
import { createRouterPeers } from "../../src/coordination/forwarding/routerPeers.ts";
import type { ManualClock } from "../../src/coordination/manualClock.ts";
import { createManualClock } from "../../src/coordination/manualClock.ts";
import { noEpochs, noRecovery } from "../../src/coordination/storeEpochs/recoveryWindow.ts";
import { noQuarantine } from "../../src/coordination/crashes/quarantine.ts";
import { followStore } from "../../src/daemons/storeFollowing.ts";
import { RecordFeed } from "../../src/protocol/forwarding/RecordFeed.ts";
import type {
  FeedPage,
  FeedRecord,
  OperatorRecord,
  ReplicaEntry,
} from "../../src/protocol/forwarding/types.ts";
import { defaultEpoch, noEpochChanges } from "../../src/protocol/storeEpoch.ts";
import { createReplicaTable } from "../../src/state/forwarding/replicaTable.ts";
import {
  bounds,
  configurationOf,
  drainingAnswer,
  engineEntry,
} from "../../tests/support/forwardingFixture.ts";
import { MemoryNetwork } from "../../tests/support/MemoryNetwork.ts";
import { positionAt } from "../../tests/support/positions.ts";
import type { Bench } from "../types.ts";

/** Routers, and the data centres that they are spread over. */
const sizes = [
  { routers: 6, dataCentres: 1 },
  { routers: 58, dataCentres: 4 },
  { routers: 195, dataCentres: 6 },
  { routers: 460, dataCentres: 12 },
] as const;
const quickSizes = sizes.slice(0, 2);

const replicaCount = 100;

/** Time in which routers find one another, and time for which they are watched, milliseconds. */
const warmUp = 8_000;
const watchTime = 22_000;

/** Time of one call of the store, milliseconds. */
const storeCallTime = 4;

/** A topic whose records are held in memory. */
class SimulatedFeed<T> extends RecordFeed<T> {
  calls = 0;
  private readonly records: FeedRecord<T>[] = [];
  private readonly waiting = new Set<() => void>();
  private readonly clock: ManualClock;

  constructor(clock: ManualClock) {
    super();
    this.clock = clock;
  }

  write(key: string, value: T): void {
    this.records.push({ position: positionAt(this.records.length), key, value });
    for (const wake of [...this.waiting]) wake();
  }

  override async newest(): Promise<FeedPage<T>> {
    await this.call();
    const newest = new Map(this.records.map((record) => [record.key, record]));
    return { records: [...newest.values()], next: positionAt(this.records.length), isComplete: true };
  }

  override async changes(from: FeedPage<T>["next"], wait: number): Promise<FeedPage<T>> {
    await this.call();
    const first = from.offsetIn(defaultEpoch);
    if (wait > 0 && this.records.length <= first) await this.waitForRecord(wait);
    return { records: this.records.slice(first), next: positionAt(this.records.length), isComplete: true };
  }

  override put(): Promise<number> {
    return Promise.resolve(defaultEpoch);
  }

  override drop(): Promise<void> {
    return Promise.resolve();
  }

  private async call(): Promise<void> {
    this.calls += 1;
    await pause(this.clock, storeCallTime);
  }

  private waitForRecord(wait: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        cancel();
        this.waiting.delete(wake);
        resolve();
      };
      const cancel = this.clock.after(wait, wake);
      this.waiting.add(wake);
    });
  }
}

/** The same topic for one router, which may be cut off from the store. */
class RouterFeed<T> extends RecordFeed<T> {
  private readonly shared: RecordFeed<T>;
  private readonly isCut: () => boolean;

  constructor(shared: RecordFeed<T>, isCut: () => boolean) {
    super();
    this.shared = shared;
    this.isCut = isCut;
  }

  override newest(): Promise<FeedPage<T>> {
    return this.guard(() => this.shared.newest());
  }

  override changes(from: FeedPage<T>["next"], wait: number): Promise<FeedPage<T>> {
    return this.guard(() => this.shared.changes(from, wait));
  }

  override put(key: string, value: T): Promise<number> {
    return this.shared.put(key, value);
  }

  override drop(key: string): Promise<void> {
    return this.shared.drop(key);
  }

  private async guard<U>(call: () => Promise<U>): Promise<U> {
    if (this.isCut()) throw new Error("cut off");
    const answer = await call();
    if (this.isCut()) throw new Error("cut off");
    return answer;
  }
}

interface Size {
  readonly routers: number;
  readonly dataCentres: number;
}

/** Starts routers in simulated time, with a store whose calls are counted. */
export const startRouters = ({ routers, dataCentres }: Size, clock: ManualClock) => {
  const network = new MemoryNetwork(clock);
  const operator = new SimulatedFeed<OperatorRecord>(clock);
  const copies = new SimulatedFeed<OperatorRecord>(clock);
  const registry = new SimulatedFeed<ReplicaEntry>(clock);
  operator.write("config", { kind: "configuration", configuration: configurationOf(1) });
  for (let index = 0; index < replicaCount; index += 1)
    registry.write(`engine-${index}`, engineEntry(`engine-${index}`));
  const entries = Array.from({ length: routers }, (_, index) => ({
    name: `router-${index}`,
    incarnation: `${index}`,
    dataCentre: `data-centre-${index % dataCentres}`,
    address: "10.0.0.1",
    port: index + 1,
  }));
  const cutRouters = new Set<string>();
  const started = entries.map((self) => {
    const isCut = (): boolean => cutRouters.has(self.name);
    const replicas = createReplicaTable();
    const configuration = createConfigurationState(clock);
    const link = network.open(self.port);
    const peers = createRouterPeers({
      ...noEpochs,
      self,
      link,
      clock,
      replicas,
      configuration,
      holders: { notePart: () => undefined },
      maxReadAge: () => following.maxReadAge(),
      onNewerConfiguration: () => following.requestRead(),
      quarantine: noQuarantine,
    });
    const following = followStore({
      platform: {
        epochs: noEpochChanges,
        operator: new RouterFeed(operator, isCut),
        operatorCopies: new RouterFeed(copies, isCut),
        replicas: new RouterFeed(registry, isCut),
      },
      self: self.name,
      recovery: noRecovery,
      link,
      clock,
      bounds,
      configuration,
      replicas,
      peers,
      onConfiguration: () => undefined,
    });
    peers.add(entries);
    return { name: self.name, port: self.port, configuration, replicas, peers };
  });
  const calls = (): number => operator.calls + copies.calls + registry.calls;
  return { network, operator, registry, routers: started, cutRouters, calls };
};

/** Advances the simulated time by steps of a millisecond. */
export const run = async (clock: ManualClock, milliseconds: number, observe: () => void): Promise<void> => {
  for (let step = 0; step < milliseconds; step += 1) {
    clock.advanceTo(clock.monotonic() + 1);
    await settle();
    observe();
  }
};

/** Measures one size. `lastRouterStopsAfter` is in milliseconds, `undefined` if some router goes on to the end. */
export const measureRegistry = async (size: Size) => {
  const clock = createManualClock(1_000);
  const { network, registry, routers, calls } = startRouters(size, clock);
  await run(clock, warmUp, () => undefined);
  const count = async (observe: () => void) => {
    const before = { messages: network.sent, calls: calls() };
    await run(clock, watchTime, observe);
    return { messages: network.sent - before.messages, calls: calls() - before.calls };
  };
  const atRest = await count(() => undefined);
  const draining = engineEntry("engine-0", { isDraining: true });
  const readers = routers.filter(({ peers }) => peers.isStoreReader());
  for (const { replicas, peers } of readers) {
    replicas.markDraining(draining.id, drainingAnswer);
    if (!peers.isLarge()) peers.announceLeaving(draining.id);
  }
  registry.write(draining.id, draining);
  const acceptedAt = clock.monotonic();
  let last = 0;
  const whileDraining = await count(() => {
    if (routers.some(({ replicas }) => replicas.get(draining.id)?.entry.isDraining !== true))
      last = clock.monotonic() - acceptedAt;
  });
  return {
    routers: size.routers,
    readers: readers.length,
    lastRouterStopsAfter: last >= watchTime ? undefined : last,
    messagesAtRest: atRest.messages,
    messages: whileDraining.messages,
    callsAtRest: atRest.calls,
    calls: whileDraining.calls,
  };
};

/** Time until all routers know that a replica drains. */
export const registryBench: Bench = {
  name: "registry",
  summary:
    "time until no router sends requests to a replica that drains, with messages and calls to the store",
  run: async ({ json, quick }) => {
    const results = [];
    for (const size of quick ? quickSizes : sizes) results.push(await measureRegistry(size));
    if (json) console.log(JSON.stringify(results));
    else console.table(results);
  },
};
