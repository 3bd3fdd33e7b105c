/** A system on the platform's stand-in, in one process: store, replicas, and routers by the real adapter. */
import { request as httpRequest } from "node:http";
import type { IncomingHttpHeaders } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { connectPlatform } from "../../platform/connect.ts";
import type { ForwardingRouter } from "../../src/daemons/forwardingRouter.ts";
import { startForwardingRouter } from "../../src/daemons/forwardingRouter.ts";
import type { ForwardingSettings } from "../../src/daemons/forwardingSettings.ts";
import type { ReplicaSettings, ReplicaStandIn, ReportHeaders, ExecutedRequest } from "./replica.ts";
import { startReplicaStandIn } from "./replica.ts";
import type { StoreStandIn } from "./store.ts";
import { startStoreStandIn } from "./store.ts";

export const keys = { known: "key-one", isolated: "key-two" } as const;

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

/** The configuration that the operator publishes unless a test says otherwise. */
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

/** A replica as it registers. */
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

type ReplicaFields = ReturnType<typeof createRegistryEntry>;

/** How long the callers of tests wait, milliseconds. */
const usualPatience = 3_000;

/** What a caller got. */
export interface CallerAnswer {
  /** 0: the connection ended without an answer. */
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** The answer ended before its body was whole. */
  readonly isCut: boolean;
}

/** What a caller sends. */
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

/** Writes to a store as the operator and the replicas do. */
export const createStoreWriters = (store: StoreStandIn) => ({
  publish: (value: unknown): void => store.put("keyed.op", "config", value),
  publishWeightsVersion: (version: number): void =>
    store.put("keyed.op", "version/m", { model: "m", version }),
  /** Without an entry the replica is gone. */
  register: (id: string, entry: ReplicaFields | undefined): void => store.put("keyed.servers", id, entry),
});

/** The headers of every request. @param patience - Milliseconds. */
export const callHeaders = (id: string, key: string, patience: number): Readonly<Record<string, string>> => ({
  "x-attempt-id": id,
  "x-deadline-ms": String(patience),
  ...(key === "" ? {} : { authorization: `Bearer ${key}` }),
});

const saltHeader = "x-cache-salt";

/** The header of a request whose cached parts are kept under a salt. */
export const saltHeaders = (salt: string): Readonly<Record<string, string>> => ({ [saltHeader]: salt });

/** @returns What a run's cached parts are kept under; nothing if the request said nothing of it. */
export const cacheSaltOf = ({ headers }: ExecutedRequest): string | undefined => {
  const salt = headers[saltHeader];
  return typeof salt === "string" ? salt : undefined;
};

/** Where the balancer asks. */
export const readinessPath = "/-/ready";

/** The variable that names a router's settings file. */
export const settingsVariable = "POMELOCLEAT_BOOT";

let nextId = 0;

/** Sends one request on a connection of its own. */
export const sendRequest = (router: ForwardingRouter, given: RequestOptions): Promise<CallerAnswer> =>
  new Promise((resolve) => {
    nextId += 1;
    const { host, path, method = "POST", id = `request-${nextId}`, key = keys.known, body = "" } = given;
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
          ...callHeaders(id, key, usualPatience),
          ...given.headers,
        },
        ...(given.signal === undefined ? {} : { signal: given.signal }),
      },
      (response) => {
        response.on("data", (chunk: Buffer) => chunks.push(chunk));
        response.on("end", () => end(response.statusCode ?? 0, response.headers, !response.complete));
        response.on("error", () => end(response.statusCode ?? 0, response.headers, true));
      },
    );
    request.on("error", () => end(0, {}, true));
    request.end(body);
  });

/** A part of a prompt. */
export interface SentPromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** The headers of a request to an engine with a prompt. @param answerTokens - The most that the answer may have. */
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

/** The headers of a usual request to an engine. */
export const defaultPromptHeaders = (part = "5c1e07a2"): Readonly<Record<string, string>> =>
  createPromptHeaders(
    [
      { id: part, tokens: 800 },
      { id: "91bd3f06", tokens: 410 },
      { id: "e4402b7d", tokens: 250 },
    ],
    80,
  );

/** What the answers of a replica that drains carry. */
export const drainingReport: ReportHeaders = { "server-leaving": "1" };

/** @returns The replica whose answer it is, if the answer reports that the replica drains. */
export const drainingReplicaOf = (headers: IncomingHttpHeaders): string | undefined => {
  const seal = headers["x-replica-seal"];
  return headers["server-leaving"] === "1" && typeof seal === "string" ? seal.split(".")[0] : undefined;
};

/** A running system. */
export interface PlatformSystem extends AsyncDisposable {
  readonly store: StoreStandIn;
  readonly desks: readonly ReplicaStandIn[];
  readonly engines: readonly ReplicaStandIn[];
  readonly routers: readonly ForwardingRouter[];
  readonly router: ForwardingRouter;
  /** Publishes a configuration. */
  readonly publish: (value: unknown) => void;
  readonly publishWeightsVersion: (version: number) => void;
  /** Writes a replica's registration; without fields the replica is gone. */
  readonly register: (replica: ReplicaStandIn, fields: Readonly<Record<string, unknown>> | undefined) => void;
  /** @param through - Another way to the store. */
  readonly startRouter: (through?: StoreStandIn) => Promise<ForwardingRouter>;
  /** Ends all routers. */
  readonly stopRouters: () => Promise<void>;
}

/** @returns The names under which routers are registered. */
export const registeredRouters = ({ store }: Pick<PlatformSystem, "store">): readonly string[] => [
  ...store.topics.newest("keyed.routers").keys(),
];

/** What a system is made of. */
export interface PlatformSystemSettings {
  readonly desks?: number;
  readonly engines?: number;
  readonly engine?: Partial<ReplicaSettings>;
  readonly desk?: Partial<ReplicaSettings>;
  readonly bounds?: Partial<ForwardingSettings["bounds"]>;
  /** Without it the store holds nothing at first. */
  readonly isPublished?: boolean;
}

const bounds: ForwardingSettings["bounds"] = {
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

/** @returns Once something holds. */
export const waitUntil = async (condition: () => boolean | Promise<boolean>): Promise<void> => {
  while (!(await condition())) await sleep(10);
};

/** @returns Whether a router says that it takes requests. */
export const isReady = async ({ readinessPort }: ForwardingRouter): Promise<boolean> =>
  (await fetch(`http://127.0.0.1:${readinessPort}${readinessPath}`)).ok;

const startAll = (count: number, of: (index: number) => ReplicaSettings): Promise<ReplicaStandIn[]> =>
  Promise.all(Array.from({ length: count }, (_, index) => startReplicaStandIn(of(index))));

/** Starts a store, replicas and one router that is ready. */
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

  const register = (replica: ReplicaStandIn, fields: Readonly<Record<string, unknown>> | undefined): void => {
    const service = desks.includes(replica) ? "desk" : "engines";
    const entry = { ...createRegistryEntry(service, replica, replica.version()), ...fields };
    writers.register(replica.id, fields === undefined ? undefined : entry);
  };

  const startRouter = async (through: StoreStandIn = store): Promise<ForwardingRouter> => {
    const router = await startForwardingRouter(
      {
        name: `router-${routers.length}`,
        dataCentre: "here",
        callers: anyPort,
        readiness: anyPort,
        metricsPort: 0,
        peers: anyPort,
        store: { address: "127.0.0.1", port: Number(through.address.split(":")[1]) },
        bounds: { ...bounds, ...settings.bounds },
      },
      connectPlatform,
    );
    routers.push(router);
    return router;
  };

  const stopRouters = async (): Promise<void> => {
    await Promise.all(routers.splice(0).map((each) => each[Symbol.asyncDispose]()));
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
    stopRouters,
    [Symbol.asyncDispose]: async () => {
      await stopRouters();
      await Promise.all([...desks, ...engines].map((each) => each[Symbol.asyncDispose]()));
      await store[Symbol.asyncDispose]();
    },
  };
};
