/** The platform's store with the configuration and the registry of a small deployment. */
import type { StoreStandIn } from "../../standIns/platform/store.ts";
import { startStoreStandIn } from "../../standIns/platform/store.ts";
import { caller } from "./callers.ts";

/** A replica as it registers itself. */
export interface RegisteredReplica {
  readonly id: string;
  /** `IP:PORT`. */
  readonly address: string;
}

/** What differs between the deployments of the cases. */
export interface PlatformSettings {
  readonly engines?: readonly RegisteredReplica[];
  readonly desks?: readonly RegisteredReplica[];
  /** Requests that an engine runs at once. */
  readonly slots?: number;
  /** Connections that a replica accepts from all callers. */
  readonly maxConnections?: number;
}

/** A key that the tenant keeps. */
const otherKey = "key-two";

/** How often replicas write their entries, milliseconds. */
const heartbeatInterval = 1_200;

const defaultSlots = { engine: 64, desk: 6 } as const;

const createRoute = (name: string, kind: string, service: string, fields: object = {}) => ({
  name,
  host: caller.host,
  pathPrefix: `/${name}/`,
  kind,
  service,
  timeoutMs: 15_000,
  targetLatencyMs: 400,
  priority: 1,
  maxAttempts: 1,
  allowAnonymous: false,
  sessionAffinity: kind === "streaming",
  resumable: false,
  ...fields,
});

const createConfiguration = (
  { slots = defaultSlots.engine, maxConnections = 96 }: PlatformSettings,
  version: number,
  apiKeys: readonly string[],
) => ({
  version,
  routes: [
    createRoute("tag", "streaming", "engines"),
    createRoute("price", "safe", "desk", { maxAttempts: 2 }),
    createRoute("post", "unsafe", "desk"),
  ],
  services: [
    { name: "desk", healthPath: "/healthz", maxConnections },
    {
      name: "engines",
      healthPath: "/healthz",
      maxConnections,
      engine: {
        slots,
        kvCapacityTokens: 233_557,
        kvTokenBytes: 18_432,
        linkMbps: 370_000,
        models: [{ name: "m" }],
      },
    },
  ],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
  tenants: [{ name: "one", apiKeys, priority: 1, isolated: false }],
});

const createEntry = (
  service: "engines" | "desk",
  { address }: RegisteredReplica,
  slots: number,
  sequence: number,
) => ({
  service,
  address,
  zone: "here",
  version: "v1",
  slots,
  state: "ready",
  coldRemainingMs: 0,
  stage: "colocated",
  models: service === "engines" ? [{ name: "m", version: 1, adapters: [] }] : [],
  sequence,
  born: 1_790_000_000_000,
});

/** A running store, in which the replicas keep their entries. */
export interface Platform extends AsyncDisposable {
  /** `IP:PORT`. */
  readonly address: string;
  readonly store: StoreStandIn;
  /** Publishes a configuration without the callers' key. The store's answer is its ack. */
  readonly takeKeyAway: () => void;
}

/** Starts the store and writes the configuration and the replicas' entries to it. */
export const startPlatform = async (settings: PlatformSettings): Promise<Platform> => {
  const { engines = [], desks = [], slots = defaultSlots.engine } = settings;
  const store = await startStoreStandIn();
  // Its header is not on the pages that are in force.
  store.faults.omitsEpoch = true;
  store.put("keyed.op", "config", createConfiguration(settings, 1, [caller.key, otherKey]));
  let sequence = 0;
  const register = (): void => {
    sequence += 1;
    for (const each of engines)
      store.put("keyed.servers", each.id, createEntry("engines", each, slots, sequence));
    for (const each of desks)
      store.put("keyed.servers", each.id, createEntry("desk", each, defaultSlots.desk, sequence));
  };
  register();
  const heartbeat = setInterval(register, heartbeatInterval);
  return {
    address: store.address,
    store,
    takeKeyAway: () => store.put("keyed.op", "config", createConfiguration(settings, 4, [otherKey])),
    [Symbol.asyncDispose]: async () => {
      clearInterval(heartbeat);
      await store[Symbol.asyncDispose]();
    },
  };
};
