/** Routers and stand-ins in one process over real sockets, for tests that need no process to die. */
import { createHash } from "node:crypto";
import { readFile } from "node:fs/promises";
import { setTimeout as sleep } from "node:timers/promises";
import { startRouter } from "../../src/daemons/router.ts";
import type { Router } from "../../src/daemons/router.ts";
import { parseRouterSettings } from "../../src/daemons/routerSettings.ts";
import type { RouterSettings } from "../../src/daemons/routerSettings.ts";
import { parseConfiguration } from "../../src/protocol/configuration/check.ts";
import { createReplacement, encodeConfigurationRecord } from "../../src/protocol/configuration/record.ts";
import type { Configuration } from "../../src/protocol/configuration/schema.ts";
import { headers, logStreams } from "../../src/protocol/constants.ts";
import type { ListedVm } from "../../src/protocol/types.ts";
import { createEngineStandIn } from "../../standIns/engine/engine.ts";
import type { EngineStandIn, EngineStandInSettings } from "../../standIns/engine/types.ts";
import { createLogServiceStandIn } from "../../standIns/logService.ts";
import type { LogServiceStandIn } from "../../standIns/logService.ts";
import { createServiceStandIn } from "../../standIns/service.ts";
import type { ServiceStandIn } from "../../standIns/service.ts";
import { createVmListStandIn } from "../../standIns/vmList.ts";
import type { VmListStandIn } from "../../standIns/vmList.ts";
import type { ResourceStack } from "../../src/protocol/resourceStack.ts";
import { createResourceStack } from "../../src/protocol/resourceStack.ts";

/** The operators' key of test routers. */
export const operatorKey = "test-operator-key";

/** What to start; the configuration is that of `examples/demo.json`, changed as wanted. */
export interface LocalSystemOptions {
  readonly routers?: number;
  /** Replicas of `records-assistant`. */
  readonly engines?: number;
  /** Replicas of `records-desk`. */
  readonly services?: number;
  /** Starts the upstreams of every other pool and service of the configuration as well. */
  readonly allPools?: boolean;
  readonly engineSettings?: Partial<EngineStandInSettings>;
  readonly routerSettings?: Partial<RouterSettings>;
  readonly changeConfiguration?: (configuration: Configuration) => Configuration;
}

/** A running system. */
export interface LocalSystem extends AsyncDisposable {
  readonly configuration: Configuration;
  readonly routers: readonly Router[];
  readonly engines: readonly EngineStandIn[];
  readonly services: readonly ServiceStandIn[];
  readonly logService: LogServiceStandIn;
  readonly vmList: VmListStandIn;
  /** A call to a router as an organisation; `petra-wings` unless named. */
  readonly call: (path: string, options?: CallOptions) => Promise<Response>;
  /** Ends a router abruptly, as far as that goes within one process. */
  readonly stopRouter: (index: number) => Promise<void>;
  /** Starts a router in the place of one that was stopped; resolves as soon as it listens. */
  readonly startRouter: (index: number, changes?: Partial<RouterSettings>) => Promise<Router>;
}

/** A call to a router. */
export interface CallOptions {
  readonly router?: number;
  readonly organisation?: string;
  readonly method?: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  readonly signal?: AbortSignal;
}

const dataCentre = "amman-north";
const readyPolls = 400;
const readyInterval = 10;

/** Upstreams are named POOL-NUMBER. */
const listUpstream = (role: "engine" | "service", standIn: EngineStandIn | ServiceStandIn): ListedVm => ({
  id: standIn.name,
  dataCentre,
  url: standIn.url,
  role,
  pool: standIn.name.replace(/-\d+$/, ""),
  state: "live",
});

interface Pool {
  readonly name: string;
  readonly replicas: number;
}

/** The names of the replicas to start, with their pools. */
const listReplicas = <T extends Pool>(
  pools: readonly T[],
  counts: ReadonlyMap<string, number>,
  all: boolean,
) =>
  pools.flatMap((pool) => {
    const count = counts.get(pool.name) ?? (all ? pool.replicas : 0);
    return Array.from({ length: count }, (_, index) => ({ pool, name: `${pool.name}-${index}` }));
  });

const startUpstreams = async (
  configuration: Configuration,
  options: LocalSystemOptions,
  resources: ResourceStack,
) => {
  const { allPools = false, engineSettings } = options;
  const counts = new Map([
    ["records-assistant", options.engines ?? 2],
    ["records-desk", options.services ?? 1],
  ]);
  const engines: EngineStandIn[] = [];
  for (const { pool, name } of listReplicas(configuration.enginePools, counts, allPools)) {
    const model = configuration.models.find((item) => item.name === pool.model);
    const settings = { name, model: pool.model, weightsVersion: model?.weightsVersion, ...engineSettings };
    engines.push(resources.use(await createEngineStandIn(settings)));
  }
  const services: ServiceStandIn[] = [];
  for (const { pool, name } of listReplicas(configuration.services, counts, allPools)) {
    services.push(resources.use(await createServiceStandIn({ name, service: pool.name })));
  }
  return { engines, services };
};

const listRouter = ({ url, peerUrl }: Router, index: number): ListedVm => ({
  id: `router-${index}`,
  dataCentre,
  url,
  peerUrl,
  role: "router",
  pool: "",
  state: "live",
});

const readConfiguration = async (
  change: LocalSystemOptions["changeConfiguration"],
): Promise<Configuration> => {
  const file = "examples/demo.json";
  const configuration = parseConfiguration(await readFile(file, "utf8"), file);
  return change?.(configuration) ?? configuration;
};

const publish = async (logUrl: string, configuration: Configuration): Promise<void> => {
  const record = createReplacement(configuration, { publishedBy: "test", publishedAt: 0 });
  await fetch(`${logUrl}/streams/${logStreams.configuration}/records`, {
    method: "POST",
    body: JSON.stringify({ records: [encodeConfigurationRecord(record)] }),
  });
};

/** Waits until every router has the configuration and a report of every engine. */
const waitUntilReady = async (routers: readonly Router[], engines: number): Promise<void> => {
  for (const router of routers) {
    for (let poll = 0; poll < readyPolls; poll += 1) {
      const answer = await fetch(`${router.url}/operator/engines`, {
        headers: { authorization: `Bearer ${operatorKey}` },
      });
      const view = (await answer.json()) as { readonly engines: readonly { readonly state: string }[] };
      const live = view.engines.filter((engine) => engine.state === "live").length;
      if (live === engines && (await fetch(`${router.url}/readyz`)).ok) break;
      await sleep(readyInterval);
    }
  }
};

const settingsOf = (
  index: number,
  logService: string,
  vmList: string,
  changes: Partial<RouterSettings> = {},
): RouterSettings =>
  parseRouterSettings(
    JSON.stringify({
      name: `router-${index}`,
      dataCentre,
      callers: { address: "127.0.0.1", port: 0 },
      peers: { address: "127.0.0.1", port: 0 },
      logService,
      vmList,
      operatorKeyHash: createHash("sha256").update(operatorKey).digest("hex"),
      sharedSecret: "test-shared-secret-of-all-routers-0123456789",
      vmListInterval: 50,
      loadInterval: 50,
      logs: "",
      ...changes,
    }),
    `router-${index}.json`,
  );

/** Starts a system and waits until it is ready. */
export const startLocalSystem = async (options: LocalSystemOptions = {}): Promise<LocalSystem> => {
  await using resources = createResourceStack();
  const configuration = await readConfiguration(options.changeConfiguration);
  const logService = resources.use(await createLogServiceStandIn());
  const vmList = resources.use(await createVmListStandIn());
  const { engines, services } = await startUpstreams(configuration, options, resources);
  const upstreams = [
    ...engines.map((engine) => listUpstream("engine", engine)),
    ...services.map((service) => listUpstream("service", service)),
  ];
  vmList.set(upstreams);
  await publish(logService.url, configuration);
  const routers: Router[] = [];
  resources.defer(() => Promise.all(routers.map((router) => router[Symbol.asyncDispose]())));
  const start = async (index: number, changes: Partial<RouterSettings> = {}): Promise<Router> => {
    const settings = settingsOf(index, logService.url, vmList.url, { ...options.routerSettings, ...changes });
    const router = await startRouter(settings);
    routers[index] = router;
    vmList.set([...upstreams, ...routers.map(listRouter)]);
    return router;
  };
  for (let index = 0; index < (options.routers ?? 1); index += 1) await start(index);
  await waitUntilReady(routers, engines.length);

  const call = (path: string, given: CallOptions = {}): Promise<Response> => {
    const { router = 0, organisation = "petra-wings", body, signal } = given;
    return fetch(`${routers[router]?.url ?? ""}${path}`, {
      method: given.method ?? (body === undefined ? "GET" : "POST"),
      headers: {
        authorization: `Bearer demo-key-${organisation}`,
        "content-type": "application/json",
        ...given.headers,
      },
      ...(body === undefined ? {} : { body: typeof body === "string" ? body : JSON.stringify(body) }),
      ...(signal === undefined ? {} : { signal }),
    });
  };
  const owned = resources.move();
  return {
    configuration,
    routers,
    engines,
    services,
    logService,
    vmList,
    call,
    startRouter: start,
    stopRouter: async (index) => {
      await routers[index]?.[Symbol.asyncDispose]();
    },
    [Symbol.asyncDispose]: () => owned[Symbol.asyncDispose](),
  };
};

/** The headers of a call that may run at most once. */
export const atMostOnceHeaders = (key: string): Readonly<Record<string, string>> => ({
  [headers.idempotent]: "false",
  [headers.idempotencyKey]: key,
});
