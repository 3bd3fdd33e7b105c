/** A store and replicas of the plain service, for router processes. */
import { createResourceStack } from "../../src/protocol/resourceStack.ts";
import {
  createConfiguration,
  createRegistryEntry,
  createStoreWriters,
} from "../../standIns/platform/platformSystem.ts";
import type { ReplicaSettings, ReplicaStandIn } from "../../standIns/platform/replica.ts";
import { startReplicaStandIn } from "../../standIns/platform/replica.ts";
import type { StoreStandIn } from "../../standIns/platform/store.ts";
import { startStoreStandIn } from "../../standIns/platform/store.ts";

export interface DeskSystem extends AsyncDisposable {
  readonly store: StoreStandIn;
  readonly desk: ReplicaStandIn;
}

/**
 * Starts a store with a configuration, and replicas that are registered.
 *
 * @param ids - The ids of the replicas; the first one is {@link DeskSystem.desk}.
 */
export const startDeskSystem = async (
  ids: readonly [string, ...string[]],
  settings: Partial<ReplicaSettings> = {},
  configuration: unknown = createConfiguration(),
): Promise<DeskSystem> => {
  await using resources = createResourceStack();
  const store = resources.use(await startStoreStandIn());
  const { publish, register } = createStoreWriters(store);
  const start = async (id: string): Promise<ReplicaStandIn> => {
    const desk = resources.use(await startReplicaStandIn({ ...settings, id }));
    register(id, createRegistryEntry("desk", desk, 1));
    return desk;
  };
  publish(configuration);
  const [first, ...others] = ids;
  const desk = await start(first);
  for (const id of others) await start(id);
  const owned = resources.move();
  return { store, desk, [Symbol.asyncDispose]: () => owned[Symbol.asyncDispose]() };
};
