/** A system whose store is restored from older copies, and what operator and replicas then write again. */
import type { ForwardingRouter } from "../../src/daemons/forwardingRouter.ts";
import type {
  RequestOptions,
  PlatformSystem,
  PlatformSystemSettings,
} from "../../standIns/platform/platformSystem.ts";
import { sendRequest, createConfiguration, hosts } from "../../standIns/platform/platformSystem.ts";
import { timeUntil, waitUntil } from "./conditions.ts";
import { startReadySystem } from "./readySystem.ts";

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
export const startRestorableSystem = (
  settings: PlatformSystemSettings = {},
  routers = 6,
): Promise<PlatformSystem> => startReadySystem({ desks: 4, engines: 5, ...settings }, routers);

/** @returns The number of routers that answer a request with a status. */
export const countStatus = async (
  routers: readonly ForwardingRouter[],
  status: number,
  request: RequestOptions,
): Promise<number> => {
  const answers = await Promise.all(routers.map((router) => sendRequest(router, request)));
  return answers.filter((answer) => answer.status === status).length;
};

/** @returns Milliseconds until all routers answered a request with a status; infinity after the timeout. */
export const timeUntilAll = (
  { routers }: Pick<PlatformSystem, "routers">,
  timeout: number,
  status: number,
  request: RequestOptions,
): Promise<number> =>
  timeUntil(timeout, async () => (await countStatus(routers, status, request)) === routers.length);

/** Waits until all routers answer a request with a status. */
export const waitForStatus = (
  { routers }: Pick<PlatformSystem, "routers">,
  status: number,
  request: RequestOptions,
): Promise<void> => waitUntil(async () => (await countStatus(routers, status, request)) === routers.length);
