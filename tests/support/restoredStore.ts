/** A system whose store returns from older copies, and what operator and replicas then write again. */
import { setTimeout as sleep } from "node:timers/promises";
import type { ForwardingRouter } from "../../src/daemons/forwardingRouter.ts";
import type {
  RequestOptions,
  PlatformSystem,
  PlatformSystemSettings,
} from "../../standIns/platform/platformSystem.ts";
import {
  sendRequest,
  createConfiguration,
  hosts,
  isReady,
  startPlatformSystem,
} from "../../standIns/platform/platformSystem.ts";

/** How long the store is away before it returns, milliseconds. */
export const storeOutage = 400;

export const readCall: RequestOptions = { host: hosts.desk, path: "/read/2f", body: "look up" };

/** Served by configurations that have the added route. */
export const addedRouteCall: RequestOptions = { host: hosts.desk, path: "/added/2f", body: "look up" };

/** Keys of an organisation whose key may be revoked. */
export const revocableKey = "key-three";

const usual = createConfiguration(1);

const addedRoute = { ...usual.routes[0], name: "added", pathPrefix: "/added/" };

export const withAddedRoute = (version: number) =>
  createConfiguration(version, { routes: [...usual.routes, addedRoute] });

/** A configuration with a third organisation, whose key is there or revoked. */
export const withRevocableKey = (version: number, isRevoked: boolean) =>
  createConfiguration(version, {
    tenants: [
      ...usual.tenants,
      { name: "three", apiKeys: isRevoked ? [] : [revocableKey], priority: 1, isolated: false },
    ],
  });

/** Starts a system whose routers are all ready. */
export const startRestorableSystem = async (
  settings: PlatformSystemSettings = {},
  routers = 6,
): Promise<PlatformSystem> => {
  const system = await startPlatformSystem({ desks: 4, engines: 5, ...settings });
  while (system.routers.length < routers) await system.startRouter();
  await waitUntil(async () => (await Promise.all(system.routers.map(isReady))).every(Boolean));
  return system;
};

/** @returns How many routers answer a request with a status. */
export const countStatus = async (
  routers: readonly ForwardingRouter[],
  status: number,
  asked: RequestOptions,
): Promise<number> => {
  const answers = await Promise.all(routers.map((router) => sendRequest(router, asked)));
  return answers.filter((answer) => answer.status === status).length;
};

/** @returns Milliseconds until something held; infinity if it didn't within a time. */
export const timeUntil = async (
  longest: number,
  condition: () => boolean | Promise<boolean>,
): Promise<number> => {
  const since = performance.now();
  while (performance.now() - since < longest) {
    if (await condition()) return performance.now() - since;
    await sleep(20);
  }
  return Number.POSITIVE_INFINITY;
};

/** @returns Milliseconds until all routers answer a request with a status. */
export const timeUntilAll = (
  { routers }: Pick<PlatformSystem, "routers">,
  longest: number,
  status: number,
  asked: RequestOptions,
): Promise<number> =>
  timeUntil(longest, async () => (await countStatus(routers, status, asked)) === routers.length);

/** Longest wait for what a test begins with, milliseconds. */
const longestSetUp = 10_000;

/** Waits until something holds; throws if it takes too long. */
export const waitUntil = async (condition: () => boolean | Promise<boolean>): Promise<void> => {
  const time = await timeUntil(longestSetUp, condition);
  if (!Number.isFinite(time))
    throw new Error(`A condition of the test did not hold within ${longestSetUp} ms.`);
};

/** Waits until all routers answer a request with a status. */
export const waitForStatus = (
  { routers }: Pick<PlatformSystem, "routers">,
  status: number,
  asked: RequestOptions,
): Promise<void> => waitUntil(async () => (await countStatus(routers, status, asked)) === routers.length);
