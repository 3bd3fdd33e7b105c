import { setTimeout as sleep } from "node:timers/promises";
import type { TestContext } from "node:test";
import { describe, it } from "node:test";
import { expect } from "earl";
import { startStoreStandIn } from "../../standIns/platform/store.ts";
import type { PlatformSystem } from "../../standIns/platform/platformSystem.ts";
import {
  sendRequest,
  createConfiguration,
  isReady,
  registeredRouters,
} from "../../standIns/platform/platformSystem.ts";
import {
  addedRouteCall,
  waitForStatus,
  storeOutage,
  countStatus,
  readCall,
  revocableKey,
  startRestorableSystem,
  timeUntilAll,
  withAddedRoute,
  withRevocableKey,
} from "../support/restoredStore.ts";
import { timeUntil, waitUntil } from "../support/conditions.ts";

/** Time within which a change must be in force, milliseconds. */
const applyBound = 2_000;

const weightsBound = 5_000;

const registrationBound = 5_000;

const readWithRevocable = { ...readCall, key: revocableKey };

/** Reports a time, and returns whether it is within a bound. */
const isWithin = (context: TestContext, what: string, time: number, bound: number): boolean => {
  context.diagnostic(`${what}: ${Math.round(time)} ms`);
  return time <= bound;
};

const allOnVersion = ({ engines }: PlatformSystem, version: number): boolean =>
  engines.every((engine) => engine.version() >= version);

/** @returns Fences of all orders that engines have accepted, in the order in which they were accepted. */
const fencesOf = ({ engines }: PlatformSystem): readonly number[] =>
  engines
    .flatMap(({ orders }) => orders)
    .sort((left, right) => left.at - right.at)
    .map(({ fence }) => fence);

const totalCalls = ({ store }: PlatformSystem): number =>
  [...store.calls.values()].reduce((sum, count) => sum + count, 0);

const isRising = (values: readonly number[]): boolean =>
  values.every((value, index) => value >= (values[index - 1] ?? value));

describe("a store restored from an older copy", () => {
  it("leaves the configuration in force until the operator has written again", async () => {
    await using system = await startRestorableSystem();
    const copy = system.store.topics.backUp();
    system.publish(withAddedRoute(2));
    await waitForStatus(system, 200, addedRouteCall);
    await system.store.restoreFrom(copy, storeOutage);
    for (let round = 0; round < 5; round += 1) {
      expect(await countStatus(system.routers, 200, addedRouteCall)).toEqual(system.routers.length);
      await sleep(100);
    }
  });

  // Readers that keep their offsets of the previous epoch read from beyond the end of the copy.
  it("delivers configurations at offsets that routers had read in the previous epoch", async (context) => {
    await using system = await startRestorableSystem();
    const copy = system.store.topics.backUp();
    system.publish(createConfiguration(2));
    system.publish(createConfiguration(3));
    await sleep(300);
    await system.store.restoreFrom(copy, storeOutage);
    system.publish(createConfiguration(3));
    system.publish(withAddedRoute(4));
    const time = await timeUntilAll(system, 4_000, 200, addedRouteCall);
    expect(isWithin(context, "in force", time, applyBound)).toEqual(true);
  });

  // No read fails in this case: the offsets exist again, with other records.
  it("delivers configurations although appends passed the old end before a router read", async (context) => {
    await using system = await startRestorableSystem();
    const copy = system.store.topics.backUp();
    system.publish(createConfiguration(2));
    await sleep(300);
    const restored = system.store.restoreFrom(copy, storeOutage);
    await restored;
    system.publish(withAddedRoute(4));
    for (let version = 1; version < 6; version += 1) system.publishWeightsVersion(1);
    const time = await timeUntilAll(system, 4_000, 200, addedRouteCall);
    expect(isWithin(context, "in force", time, applyBound)).toEqual(true);
  });

  it("delivers a key revocation that was published after the restore", async (context) => {
    await using system = await startRestorableSystem();
    system.publish(withRevocableKey(2, false));
    await waitForStatus(system, 200, readWithRevocable);
    const copy = system.store.topics.backUp();
    system.publish(withRevocableKey(3, false));
    system.publish(withRevocableKey(5, false));
    await sleep(300);
    await system.store.restoreFrom(copy, storeOutage);
    system.publish(withRevocableKey(5, false));
    system.publish(withRevocableKey(6, true));
    const time = await timeUntilAll(system, 4_000, 401, readWithRevocable);
    expect(isWithin(context, "revoked", time, applyBound)).toEqual(true);
  });

  // Otherwise no router reads the named version, and the lease's records are not found at their offsets.
  it("delivers weights that were named after the restore, ordered under rising fences", async (context) => {
    await using system = await startRestorableSystem();
    system.publishWeightsVersion(2);
    await waitUntil(() => allOnVersion(system, 2));
    const copy = system.store.topics.backUp();
    system.publish(createConfiguration(2));
    system.publish(createConfiguration(3));
    system.publishWeightsVersion(3);
    await waitUntil(() => allOnVersion(system, 3));
    await system.store.restoreFrom(copy, storeOutage);
    system.publishWeightsVersion(3);
    system.publishWeightsVersion(4);
    const time = await timeUntil(8_000, () => allOnVersion(system, 4));
    expect(isWithin(context, "all engines on new weights", time, weightsBound)).toEqual(true);
    expect(isRising(fencesOf(system))).toEqual(true);
  });

  it("delivers weights after it was restored empty twice", async (context) => {
    await using system = await startRestorableSystem();
    const empty = new Map();
    system.publishWeightsVersion(2);
    await waitUntil(() => allOnVersion(system, 2));
    for (const version of [3, 4]) {
      await system.store.restoreFrom(empty, storeOutage);
      system.publish(createConfiguration(1));
      for (const replica of [...system.desks, ...system.engines])
        system.register(replica, { sequence: version });
      system.publishWeightsVersion(version);
    }
    const time = await timeUntil(8_000, () => allOnVersion(system, 4));
    expect(isWithin(context, "all engines on new weights", time, weightsBound)).toEqual(true);
    expect(isRising(fencesOf(system))).toEqual(true);
  });

  // Fences are offsets, which restart in a new epoch; routers that start then know of no fence given out before.
  it("has engines ordered under rising fences after all routers restarted", async (context) => {
    await using system = await startRestorableSystem();
    const restart = async (): Promise<void> => {
      await system.stopRouters();
      for (let count = 0; count < 6; count += 1) await system.startRouter();
    };
    system.publishWeightsVersion(2);
    await waitUntil(() => allOnVersion(system, 2));
    await restart();
    system.publishWeightsVersion(3);
    await waitUntil(() => allOnVersion(system, 3));
    await system.store.restoreFrom(new Map(), storeOutage);
    system.publish(createConfiguration(1));
    for (const replica of [...system.desks, ...system.engines]) system.register(replica, { sequence: 2 });
    system.publishWeightsVersion(4);
    await restart();
    const time = await timeUntil(8_000, () => allOnVersion(system, 4));
    context.diagnostic(`fences: ${[...new Set(fencesOf(system))].join(", ")}`);
    expect(isWithin(context, "all engines on new weights", time, weightsBound)).toEqual(true);
    expect(isRising(fencesOf(system))).toEqual(true);
  });

  // Routers that register only at their start stay lost.
  it("gets the lost registration of a router again", async (context) => {
    await using system = await startRestorableSystem();
    const copy = system.store.topics.backUp();
    await system.startRouter();
    await waitUntil(() => registeredRouters(system).length === 7);
    await system.store.restoreFrom(copy, storeOutage);
    const time = await timeUntil(registrationBound * 2, () => registeredRouters(system).length === 7);
    expect(isWithin(context, "registered again", time, registrationBound)).toEqual(true);
  });

  it("does not bring back a replica that routers know to be gone", async () => {
    await using system = await startRestorableSystem();
    const [gone] = system.desks;
    if (gone === undefined) throw new Error("There is no replica.");
    const copy = system.store.topics.backUp();
    system.register(gone, undefined);
    await sleep(600);
    const before = gone.arrivals.length;
    await system.store.restoreFrom(copy, storeOutage);
    for (let round = 0; round < 20; round += 1) {
      await countStatus(system.routers, 200, readCall);
      await sleep(50);
    }
    expect(gone.arrivals.length - before).toEqual(0);
  });

  it("keeps a replica in use that registered after the copy was made", async (context) => {
    await using system = await startRestorableSystem({ desks: 1 });
    const [late] = system.desks;
    if (late === undefined) throw new Error("There is no replica.");
    system.register(late, undefined);
    await sleep(600);
    const copy = system.store.topics.backUp();
    system.register(late, {});
    await waitForStatus(system, 200, readCall);
    const countRefusals = async (rounds: number): Promise<number> => {
      let refusals = 0;
      for (let round = 0; round < rounds; round += 1) {
        const answers = await Promise.all(system.routers.map((router) => sendRequest(router, readCall)));
        const refused = answers.filter(({ status }) => status !== 200);
        refusals += refused.length;
        for (const { status, body } of refused) context.diagnostic(`round ${round}: ${status} ${body}`);
        await sleep(50);
      }
      return refusals;
    };
    await system.store.restoreFrom(copy, storeOutage);
    const before = await countRefusals(10);
    system.register(late, { sequence: 2 });
    expect([before, await countRefusals(50)]).toEqual([0, 0]);
  });

  // A refused read that counts as a complete one is repeated at once.
  it("is called no more than twice as often as before", async (context) => {
    await using system = await startRestorableSystem();
    const countCalls = async (): Promise<number> => {
      const before = totalCalls(system);
      await sleep(3_000);
      return totalCalls(system) - before;
    };
    const copy = system.store.topics.backUp();
    system.publish(createConfiguration(2));
    const before = await countCalls();
    await system.store.restoreFrom(copy, storeOutage);
    const after = await countCalls();
    context.diagnostic(`calls in three seconds: ${before} before, ${after} after`);
    expect(after <= 2 * before).toEqual(true);
  });
});

describe("a router whose store was restored, before the operator has written again", () => {
  // The copy proves nothing about the records that were lost.
  it("serves no older configuration than its peers if it starts then", async () => {
    await using system = await startRestorableSystem();
    system.publish(withRevocableKey(2, false));
    await waitForStatus(system, 200, readWithRevocable);
    const copy = system.store.topics.backUp();
    system.publish(withRevocableKey(3, true));
    await waitForStatus(system, 401, readWithRevocable);
    await system.store.restoreFrom(copy, storeOutage);
    const late = await system.startRouter();
    const statuses = new Set<number>();
    await waitUntil(async () => {
      statuses.add((await sendRequest(late, readWithRevocable)).status);
      return isReady(late);
    });
    for (let round = 0; round < 20; round += 1) {
      statuses.add((await sendRequest(late, readWithRevocable)).status);
      await sleep(50);
    }
    expect(statuses.has(200)).toEqual(false);
    expect(statuses.has(401)).toEqual(true);
  });

  it("gets a revocation that it had not read from its peers if the store has lost it", async (context) => {
    await using system = await startRestorableSystem();
    await using way = await startStoreStandIn(system.store.topics);
    const cut = await system.startRouter(way);
    system.publish(withRevocableKey(2, false));
    await waitForStatus(system, 200, readWithRevocable);
    const copy = system.store.topics.backUp();
    way.faults.isUnresponsive = true;
    way.closeConnections();
    system.publish(withRevocableKey(3, true));
    const publishedAt = performance.now();
    await waitUntil(async () => (await countStatus(system.routers, 401, readWithRevocable)) === 6);
    await system.store.restoreFrom(copy, storeOutage);
    way.faults.isUnresponsive = false;
    const served: number[] = [];
    for (let round = 0; round < 60; round += 1) {
      const askedAt = performance.now();
      if ((await sendRequest(cut, readWithRevocable)).status === 200) served.push(askedAt - publishedAt);
      await sleep(50);
    }
    context.diagnostic(`last served ${Math.round(served.at(-1) ?? 0)} ms after the revocation`);
    expect(served.every((age) => age <= applyBound)).toEqual(true);
    expect((await sendRequest(cut, readWithRevocable)).status).toEqual(401);
  });
});
