/** A system whose store is restored from older copies, and what operator and replicas then write again. */
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

/** Time for which the store is unavailable before it is restored, milliseconds. */
export const storeOutage = 400;

export const readCall: RequestOptions = { host: hosts.desk, path: "/read/2f", body: "look up" };

/** A call that is served if the configuration has the added route. */
export const addedRouteCall: RequestOptions = { host: hosts.desk, path: "/added/2f", body: "look up" };

/** The key of the organisation that {@link withRevocableKey} adds. */
export const revocableKey = "key-three";

const baseConfiguration = createConfiguration(1);

const addedRoute = { ...baseConfiguration.routes[0], name: "added", pathPrefix: "/added/" };

export const withAddedRoute = (version: number) =>
  createConfiguration(version, { routes: [...baseConfiguration.routes, addedRoute] });

/** @returns A configuration with a third organisation, whose key is valid or revoked. */
export const withRevocableKey = (version: number, isRevoked: boolean) =>
  createConfiguration(version, {
    tenants: [
      ...baseConfiguration.tenants,
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

/** @returns The number of routers that answer a request with a status. */
export const countStatus = async (
  routers: readonly ForwardingRouter[],
  status: number,
  request: RequestOptions,
): Promise<number> => {
  const answers = await Promise.all(routers.map((router) => sendRequest(router, request)));
  return answers.filter((answer) => answer.status === status).length;
};

/** @returns Milliseconds until a condition held; infinity if it did not within the timeout, milliseconds. */
export const timeUntil = async (
  timeout: number,
  condition: () => boolean | Promise<boolean>,
): Promise<number> => {
  const since = performance.now();
  while (performance.now() - since < timeout) {
    if (await condition()) return performance.now() - since;
    await sleep(20);
  }
  return Number.POSITIVE_INFINITY;
};

/** @returns Milliseconds until all routers answered a request with a status; infinity after the timeout. */
export const timeUntilAll = (
  { routers }: Pick<PlatformSystem, "routers">,
  timeout: number,
  status: number,
  request: RequestOptions,
): Promise<number> =>
  timeUntil(timeout, async () => (await countStatus(routers, status, request)) === routers.length);

/** Timeout of the conditions that a test begins with, milliseconds. */
const setUpTimeout = 10_000;

/** Waits until a condition holds; throws after a timeout. */
export const waitUntil = async (condition: () => boolean | Promise<boolean>): Promise<void> => {
  const time = await timeUntil(setUpTimeout, condition);
  if (!Number.isFinite(time))
    throw new Error(`A condition of the test did not hold within ${setUpTimeout} ms.`);
};

/** Waits until all routers answer a request with a status. */
export const waitForStatus = (
  { routers }: Pick<PlatformSystem, "routers">,
  status: number,
  request: RequestOptions,
): Promise<void> => waitUntil(async () => (await countStatus(routers, status, request)) === routers.length);
