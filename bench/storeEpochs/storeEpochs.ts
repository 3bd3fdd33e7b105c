/**
 * `npm run bench -- storeEpochs`: calls that the store receives after it was restored from a copy, and the time
 * until the routers have registered again. Real routers run in one process.
 */
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

/** Numbers of routers in this process. With more, the process itself would become the bottleneck. */
const sizes = [6, 20, 40] as const;
const quickSizes = [6] as const;

/** Duration of the store's outage, and the period over which calls are counted, milliseconds. */
const outageDuration = 400;
const countingDuration = 5_000;

const countCalls = ({ store }: PlatformSystem): number =>
  [...store.calls.values()].reduce((sum, count) => sum + count, 0);

const measure = async (routers: number) => {
  await using system = await startPlatformSystem({
    bounds: { keyRevocation: 5_000, drain: 2_000, lease: 3_000 },
  });
  while (system.routers.length < routers) await system.startRouter();
  await waitUntil(async () => (await Promise.all(system.routers.map(isReady))).every(Boolean));
  await sleep(countingDuration);
  const emptyCopy = new Map();
  const callsAtStart = countCalls(system);
  await sleep(countingDuration);
  const before = countCalls(system) - callsAtStart;
  await system.store.restoreFrom(emptyCopy, outageDuration);
  const returnedAt = performance.now();
  const callsAtReturn = countCalls(system);
  system.publish(createConfiguration(2));
  for (const replica of [...system.desks, ...system.engines]) system.register(replica, { sequence: 2 });
  let registeredAfter = Number.NaN;
  while (performance.now() - returnedAt < countingDuration) {
    if (Number.isNaN(registeredAfter) && registeredRouters(system).length === routers)
      registeredAfter = performance.now() - returnedAt;
    await sleep(20);
  }
  return {
    routers,
    before,
    after: countCalls(system) - callsAtReturn,
    registeredAfter: Math.round(registeredAfter),
  };
};

/** Load on the store after a restore from a copy. */
export const storeEpochsBench: Bench = {
  name: "storeEpochs",
  summary: "calls to the store in five seconds before and after it is restored from a copy",
  run: async ({ json, quick }) => {
    const results = [];
    for (const size of quick ? quickSizes : sizes) results.push(await measure(size));
    if (json) console.log(JSON.stringify(results));
    else console.table(results);
  },
};
