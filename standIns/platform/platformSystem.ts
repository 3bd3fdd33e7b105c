/** A complete system in one process: stand-ins for the platform's store and replicas, and routers with the real adapter. */
import { request as httpRequest } from "node:http";
import type { IncomingHttpHeaders } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { connectPlatform } from "../../platform/connect.ts";
import type { ForwardingRouter } from "../../src/daemons/forwardingRouter.ts";
import { startForwardingRouter } from "../../src/daemons/forwardingRouter.ts";
import type { ForwardingSettings } from "../../src/daemons/forwardingSettings.ts";
import { defaultVm } from "../../src/daemons/vmSettings.ts";
import type { ReplicaSettings, ReplicaStandIn, ReportHeaders, ExecutedRequest } from "./replica.ts";
import { startReplicaStandIn } from "./replica.ts";
import type { PartitionMode, RouterNetwork } from "./routerNetwork.ts";
import { createRouterNetwork } from "./routerNetwork.ts";
import type { StoreStandIn } from "./store.ts";
import { startStoreStandIn } from "./store.ts";

/** API keys of the default configuration: `known` of an ordinary organisation, `isolated` of the isolated one. */
export const keys = { known: "key-one", isolated: "key-two" } as const;

/** Host names of the default configuration's routes: `desk` for the plain service, `model` for the engines. */
export const hosts = { desk: "desk.example", model: "model.example" } as const;

const route = (name: string, host: string, fields: Readonly<Record<string, unknown>>) => ({
  name,
  host,
  pathPrefix: `/${name}/`,
  timeoutMs: 3_000,
  targetLatencyMs: 400,
  priority: 1,
  maxAttempts: 2,
  allowAnonymous: false,
  sessionAffinity: false,
  resumable: false,
  ...fields,
});

/**
 * Creates the operator's default configuration.
 *
 * @param fields - Replace fields of the default.
 */
export const createConfiguration = (version = 1, fields: Readonly<Record<string, unknown>> = {}) => ({
  version,
  routes: [
    route("read", hosts.desk, { kind: "safe", service: "desk" }),
    route("post", hosts.desk, { kind: "unsafe", service: "desk", maxAttempts: 1 }),
    route("ask", hosts.model, { kind: "streaming", service: "engines", maxAttempts: 1 }),
    route("tag", hosts.model, { kind: "streaming", service: "engines", resumable: true }),
  ],
  services: [
    { name: "desk", healthPath: "/healthz", maxConnections: 96 },
    {
      name: "engines",
      healthPath: "/healthz",
      maxConnections: 96,
      engine: {
        slots: 64,
        kvCapacityTokens: 200_000,
        kvTokenBytes: 18_432,
        linkMbps: 370_000,
        models: [{ name: "m" }],
      },
    },
  ],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
  tenants: [
    { name: "one", apiKeys: [keys.known], priority: 1, isolated: false },
    { name: "two", apiKeys: [keys.isolated], priority: 1, isolated: true },
  ],
  ...fields,
});

/** Creates a replica's entry in the registry. */
export const createRegistryEntry = (service: string, { address }: ReplicaStandIn, version: number) => ({
  service,
  address,
  zone: "here",
  version: "v1",
  slots: service === "desk" ? 6 : 64,
  state: "ready",
  coldRemainingMs: 0,
  models: service === "desk" ? [] : [{ name: "m", version }],
  sequence: 1,
});

type RegistryEntry = ReturnType<typeof createRegistryEntry>;

/** Deadline of the requests of tests, milliseconds. */
const defaultTimeout = 3_000;

/** The answer that a caller received. */
export interface CallerAnswer {
  /** 0 if the connection ended without an answer. */
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** The answer ended before its body was complete. */
  readonly isCut: boolean;
}

/** The request to send; the fields left out have defaults. */
export interface RequestOptions {
  readonly host: string;
  readonly path: string;
  readonly method?: string;
  readonly id?: string;
  readonly key?: string | undefined;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly signal?: AbortSignal;
}

/** Creates functions that write to a store as the operator and the replicas do. */
export const createStoreWriters = (store: StoreStandIn) => ({
  publish: (value: unknown): void => store.put("keyed.op", "config", value),
  publishWeightsVersion: (version: number): void =>
    store.put("keyed.op", "version/m", { model: "m", version }),
  /** Without an entry, the replica's registration is deleted. */
  register: (id: string, entry: RegistryEntry | undefined): void => store.put("keyed.servers", id, entry),
});

/**
 * Creates the headers that every request has.
 *
 * @param timeout - The request's deadline, milliseconds from now.
 */
export const callHeaders = (id: string, key: string, timeout: number): Readonly<Record<string, string>> => ({
  "x-attempt-id": id,
  "x-deadline-ms": String(timeout),
  ...(key === "" ? {} : { authorization: `Bearer ${key}` }),
});

const saltHeader = "x-cache-salt";

/** Creates the header that sets the salt of a request's cached parts. */
export const saltHeaders = (salt: string): Readonly<Record<string, string>> => ({ [saltHeader]: salt });

/** @returns The salt of an executed request's cached parts; `undefined` if the request had none. */
export const cacheSaltOf = ({ headers }: ExecutedRequest): string | undefined => {
  const salt = headers[saltHeader];
  return typeof salt === "string" ? salt : undefined;
};

/** The path that the load balancer probes for readiness. */
export const readinessPath = "/-/ready";

/** The environment variable with the path of a router's settings file. */
export const settingsVariable = "POMELOCLEAT_BOOT";

let nextId = 0;

/** Sends a request to a router on a new connection. */
export const sendRequest = (router: ForwardingRouter, options: RequestOptions): Promise<CallerAnswer> =>
  new Promise((resolve) => {
    nextId += 1;
    const { host, path, method = "POST", id = `request-${nextId}`, key = keys.known, body = "" } = options;
    const chunks: Buffer[] = [];
    const end = (status: number, headers: IncomingHttpHeaders, isCut: boolean): void =>
      resolve({ status, headers, body: Buffer.concat(chunks).toString(), isCut });
    const request = httpRequest(
      {
        host: "127.0.0.1",
        port: router.port,
        method,
        path,
        agent: false,
        headers: {
          host,
          ...callHeaders(id, key, defaultTimeout),
          ...options.headers,
        },
        ...(options.signal === undefined ? {} : { signal: options.signal }),
      },
      (response) => {
        response.on("data", (chunk: Buffer) => chunks.push(chunk));
        // Node drops the unread rest of a response whose request was aborted, and may still report its end.
        response.on("end", () => {
          const hasLeft = options.signal?.aborted === true;
          end(response.statusCode ?? 0, response.headers, hasLeft || !response.complete);
        });
        response.on("error", () => end(response.statusCode ?? 0, response.headers, true));
      },
    );
    request.on("error", () => end(0, {}, true));
    request.end(body);
  });

/** A prompt part as a caller declares it: the id of its content and its length. */
export interface SentPromptPart {
  readonly id: string;
  readonly tokens: number;
}

/**
 * Creates the headers of a request to an engine.
 *
 * @param answerTokens - The maximum length of the answer.
 */
export const createPromptHeaders = (
  parts: readonly SentPromptPart[],
  answerTokens: number,
): Readonly<Record<string, string>> => {
  const tokens = parts.reduce((sum, part) => sum + part.tokens, 0);
  return {
    "x-model": "m",
    "x-token-count": `${tokens},${answerTokens}`,
    "x-prefix-hash": parts.map((part) => `${part.id}:${part.tokens}`).join(","),
  };
};

/** Creates the headers of a request to an engine with a typical prompt. @param part - The id of the first part. */
export const defaultPromptHeaders = (part = "5c1e07a2"): Readonly<Record<string, string>> =>
  createPromptHeaders(
    [
      { id: part, tokens: 800 },
      { id: "91bd3f06", tokens: 410 },
      { id: "e4402b7d", tokens: 250 },
    ],
    80,
  );

/** The headers by which a replica reports that it is draining. */
export const drainingReport: ReportHeaders = { "server-leaving": "1" };

/** @returns The replica that sent the answer, if the answer reports that the replica is draining. */
export const drainingReplicaOf = (headers: IncomingHttpHeaders): string | undefined => {
  const seal = headers["x-replica-seal"];
  return headers["server-leaving"] === "1" && typeof seal === "string" ? seal.split(".")[0] : undefined;
};

/** A running system with its routers; disposing of it stops everything. */
export interface PlatformSystem extends AsyncDisposable {
  readonly store: StoreStandIn;
  readonly desks: readonly ReplicaStandIn[];
  readonly engines: readonly ReplicaStandIn[];
  readonly routers: readonly ForwardingRouter[];
  readonly router: ForwardingRouter;
  /** Publishes a configuration. */
  readonly publish: (value: unknown) => void;
  readonly publishWeightsVersion: (version: number) => void;
  /** Writes a replica's registration; without fields, deletes it. */
  readonly register: (replica: ReplicaStandIn, fields: Readonly<Record<string, unknown>> | undefined) => void;
  /** @param routerStore - The store that the router connects to, if not {@link PlatformSystem.store} itself. */
  readonly startRouter: (routerStore?: StoreStandIn) => Promise<ForwardingRouter>;
  /** @param partition - Begins before the router starts; `undefined` for none. */
  readonly startPartitionable: (partition?: PartitionMode) => Promise<PartitionableRouter>;
  /** Ends one router at once, as if its process was killed. */
  readonly endRouter: (router: ForwardingRouter) => Promise<void>;
  /** Stops all routers. */
  readonly stopRouters: () => Promise<void>;
}

/** A router whose network can be partitioned from the replicas. */
export interface PartitionableRouter {
  readonly router: ForwardingRouter;
  readonly network: RouterNetwork;
}

/** @returns The names under which routers are registered. */
export const registeredRouters = ({ store }: Pick<PlatformSystem, "store">): readonly string[] => [
  ...store.topics.newest("keyed.routers").keys(),
];

/** Number and settings of the replicas, and limits of the routers. */
export interface PlatformSystemSettings {
  readonly desks?: number;
  readonly engines?: number;
  readonly engine?: Partial<ReplicaSettings>;
  readonly desk?: Partial<ReplicaSettings>;
  readonly bounds?: Partial<ForwardingSettings["bounds"]>;
  /** Settings of the features under load. */
  readonly load?: Partial<Pick<ForwardingSettings, "guarantees" | "replicaSpeeds" | "batchMemory">>;
  /** False starts with an empty store: no configuration and no registered replicas. */
  readonly isPublished?: boolean;
}

/** The limits of routers in tests, short so that they are reached soon. */
export const defaultBounds: ForwardingSettings["bounds"] = {
  keyRevocation: 2_000,
  drain: 600,
  lease: 600,
  weights: 5_000,
  shutdownGraceSeconds: 2,
  retryRatio: 0.2,
  retryWindowSeconds: 10,
  retryReserve: 50,
  limitWindowSeconds: 8,
  limitOvershoot: 0.1,
  limitReserve: 0,
};

const anyPort = { address: "127.0.0.1", port: 0 };

/** Polls a condition until it is true. */
export const waitUntil = async (condition: () => boolean | Promise<boolean>): Promise<void> => {
  while (!(await condition())) await sleep(10);
};

/** @returns Whether a router reports that it is ready for requests. */
export const isReady = async ({ readinessPort }: ForwardingRouter): Promise<boolean> =>
  (await fetch(`http://127.0.0.1:${readinessPort}${readinessPath}`)).ok;

/** Starts a router with the real adapter. */
export const startPlatformRouter = (settings: ForwardingSettings): Promise<ForwardingRouter> =>
  startForwardingRouter(settings, connectPlatform);

const startAll = (
  count: number,
  createSettings: (index: number) => ReplicaSettings,
): Promise<ReplicaStandIn[]> =>
  Promise.all(Array.from({ length: count }, (_, index) => startReplicaStandIn(createSettings(index))));

/** Starts a store, replicas and one router, and waits until the router is ready if a configuration is published. */
export const startPlatformSystem = async (settings: PlatformSystemSettings = {}): Promise<PlatformSystem> => {
  const store = await startStoreStandIn();
  const writers = createStoreWriters(store);
  const desks = await startAll(settings.desks ?? 2, (index) => ({
    id: `desk-${index}`,
    ...settings.desk,
  }));
  const engines = await startAll(settings.engines ?? 2, (index) => ({
    id: `engine-${index}`,
    model: { name: "m", version: 1 },
    ...settings.engine,
  }));
  const routers: ForwardingRouter[] = [];
  /** Counted at the beginning of a start, since several routers may start at the same time. */
  let routersStarted = 0;

  const register = (replica: ReplicaStandIn, fields: Readonly<Record<string, unknown>> | undefined): void => {
    const service = desks.includes(replica) ? "desk" : "engines";
    const entry = { ...createRegistryEntry(service, replica, replica.version()), ...fields };
    writers.register(replica.id, fields === undefined ? undefined : entry);
  };

  const startRouter = async (routerStore: StoreStandIn = store): Promise<ForwardingRouter> => {
    const name = `router-${routersStarted}`;
    routersStarted += 1;
    const router = await startPlatformRouter({
      name,
      dataCentre: "here",
      callers: anyPort,
      readiness: anyPort,
      metricsPort: 0,
      peers: anyPort,
      vm: defaultVm,
      store: { address: "127.0.0.1", port: Number(routerStore.address.split(":")[1]) },
      guarantees: [],
      batchMemory: false,
      ...settings.load,
      bounds: { ...defaultBounds, ...settings.bounds },
    });
    routers.push(router);
    return router;
  };

  const isReplicaPort = (port: number): boolean =>
    [...desks, ...engines].some(({ address }) => address.endsWith(`:${port}`));
  const networks: RouterNetwork[] = [];

  const startPartitionable = async (partition?: PartitionMode): Promise<PartitionableRouter> => {
    const network = createRouterNetwork(isReplicaPort);
    networks.push(network);
    if (partition !== undefined) network.partition(partition);
    return { router: await network.run(() => startRouter()), network };
  };

  const stopRouters = async (): Promise<void> => {
    routersStarted = 0;
    await Promise.all(routers.splice(0).map((each) => each[Symbol.asyncDispose]()));
  };

  const endRouter = async (ended: ForwardingRouter): Promise<void> => {
    routers.splice(routers.indexOf(ended), 1);
    await ended[Symbol.asyncDispose]();
  };

  if (settings.isPublished !== false) {
    writers.publish(createConfiguration());
    for (const replica of [...desks, ...engines]) register(replica, {});
  }
  const router = await startRouter();
  if (settings.isPublished !== false) await waitUntil(() => isReady(router));

  return {
    store,
    desks,
    engines,
    routers,
    router,
    publish: writers.publish,
    publishWeightsVersion: writers.publishWeightsVersion,
    register,
    startRouter,
    startPartitionable,
    endRouter,
    stopRouters,
    [Symbol.asyncDispose]: async () => {
      await stopRouters();
      await Promise.all(networks.map((each) => each[Symbol.asyncDispose]()));
      await Promise.all([...desks, ...engines].map((each) => each[Symbol.asyncDispose]()));
      await store[Symbol.asyncDispose]();
    },
  };
};
