/** Systems whose routers are all ready. */
import { createResourceStack } from "../../src/protocol/resourceStack.ts";
import type { PlatformSystem, PlatformSystemSettings } from "../../standIns/platform/platformSystem.ts";
import { isReady, startPlatformSystem } from "../../standIns/platform/platformSystem.ts";
import { waitUntil } from "./conditions.ts";

/**
 * Starts a system. If it can't be prepared, nothing of it is left, which would keep the test's process from ending.
 *
 * @param prepare - What else is needed before a test may begin.
 */
export const startReadySystem = async (
  settings: PlatformSystemSettings,
  routers: number,
  prepare: (system: PlatformSystem) => Promise<void> = () => Promise.resolve(),
): Promise<PlatformSystem> => {
  await using resources = createResourceStack();
  const system = resources.use(await startPlatformSystem(settings));
  while (system.routers.length < routers) await system.startRouter();
  await waitUntil(async () => (await Promise.all(system.routers.map(isReady))).every(Boolean));
  await prepare(system);
  resources.move();
  return system;
};
