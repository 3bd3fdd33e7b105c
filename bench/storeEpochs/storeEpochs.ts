/** What a return of the store from a copy costs it, and how long routers need: real routers in one process. */
import { setTimeout as sleep } from "node:timers/promises";
import type { PlatformSystem } from "../../standIns/platform/platformSystem.ts";
import {
  createConfiguration,
  isReady,
  registeredRouters,
  startPlatformSystem,
  waitUntil,
} from "../../standIns/platform/platformSystem.ts";
import type { Bench } from "../types.ts";

/** Routers that share this process; more would measure the process. */
const sizes = [6, 20, 40] as const;
const quickSizes = [6] as const;

/** How long the store is away, and for how long calls are counted, milliseconds. */
const awayTime = 400;
const countedTime = 5_000;

const countCalls = ({ store }: PlatformSystem): number =>
  [...store.calls.values()].reduce((sum, count) => sum + count, 0);

const measure = async (routers: number) => {
  await using system = await startPlatformSystem({
    bounds: { keyRevocation: 5_000, drain: 2_000, lease: 3_000 },
  });
  while (system.routers.length < routers) await system.startRouter();
  await waitUntil(async () => (await Promise.all(system.routers.map(isReady))).every(Boolean));
  await sleep(countedTime);
  const empty = new Map();
  const calm = countCalls(system);
  await sleep(countedTime);
  const before = countCalls(system) - calm;
  await system.store.restoreFrom(empty, awayTime);
  const returnedAt = performance.now();
  const calls = countCalls(system);
  system.publish(createConfiguration(2));
  for (const replica of [...system.desks, ...system.engines]) system.register(replica, { sequence: 2 });
  let registeredAfter = Number.NaN;
  while (performance.now() - returnedAt < countedTime) {
    if (Number.isNaN(registeredAfter) && registeredRouters(system).length === routers)
      registeredAfter = performance.now() - returnedAt;
    await sleep(20);
  }
  return { routers, before, after: countCalls(system) - calls, registeredAfter: Math.round(registeredAfter) };
};

export const storeEpochsBench: Bench = {
  name: "storeEpochs",
  summary: "calls of the store in five seconds before and after its return from a copy",
  run: async ({ json, quick }) => {
    const results = [];
    for (const size of quick ? quickSizes : sizes) results.push(await measure(size));
    if (json) console.log(JSON.stringify(results));
    else console.table(results);
  },
};
