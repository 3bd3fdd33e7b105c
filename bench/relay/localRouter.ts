/** Starts a router and the platform stand-ins in this process, in front of engines that run elsewhere. */
import { createHash } from "node:crypto";
import { readFile } from "node:fs/promises";
import { setTimeout as sleep } from "node:timers/promises";
import { startRouter } from "../../src/daemons/router.ts";
import { parseRouterSettings } from "../../src/daemons/routerSettings.ts";
import { parseConfiguration } from "../../src/protocol/configuration/check.ts";
import { createReplacement, encodeConfigurationRecord } from "../../src/protocol/configuration/record.ts";
import { logStreams } from "../../src/protocol/constants.ts";
import { createResourceStack } from "../../src/protocol/resourceStack.ts";
import { createLogServiceStandIn } from "../../standIns/logService.ts";
import { createVmListStandIn } from "../../standIns/vmList.ts";

const configurationFile = "examples/demo.json";
const dataCentre = "amman-north";
const pool = "records-assistant";
const operatorKey = "bench-operator-key";
const readyInterval = 20;

/** A router that is ready to serve. */
export interface LocalRouter extends AsyncDisposable {
  readonly url: string;
}

interface EnginesView {
  readonly engines: readonly { readonly state: string }[];
}

const waitForEngines = async (url: string, count: number): Promise<void> => {
  for (;;) {
    const answer = await fetch(`${url}/operator/engines`, {
      headers: { authorization: `Bearer ${operatorKey}` },
    });
    const { engines } = (await answer.json()) as EnginesView;
    if (engines.filter((engine) => engine.state === "live").length === count) return;
    await sleep(readyInterval);
  }
};

/** Limits far above the load of the bench, so that no request is refused. */
const openLimits = { concurrentRequests: 100_000, requestsPerSecond: 100_000 };

const readConfiguration = async () => {
  const configuration = parseConfiguration(await readFile(configurationFile, "utf8"), configurationFile);
  return {
    ...configuration,
    organisations: configuration.organisations.map((item) => ({ ...item, limits: openLimits })),
    enginePools: configuration.enginePools.map((item) => ({ ...item, maximumRunning: 1000 })),
  };
};

/**
 * Starts a router and waits until it reports all engines as live.
 *
 * @param engineUrls - One URL per engine.
 */
export const startLocalRouter = async (engineUrls: readonly string[]): Promise<LocalRouter> => {
  await using resources = createResourceStack();
  const logService = resources.use(await createLogServiceStandIn());
  const vmList = resources.use(await createVmListStandIn());
  vmList.set(
    engineUrls.map((url, index) => ({
      id: `${pool}-${index}`,
      dataCentre,
      url,
      role: "engine",
      pool,
      state: "live",
    })),
  );
  const record = createReplacement(await readConfiguration(), { publishedBy: "bench", publishedAt: 0 });
  await fetch(`${logService.url}/streams/${logStreams.configuration}/records`, {
    method: "POST",
    body: JSON.stringify({ records: [encodeConfigurationRecord(record)] }),
  });
  const settings = {
    name: "router-0",
    dataCentre,
    callers: { address: "127.0.0.1", port: 0 },
    peers: { address: "127.0.0.1", port: 0 },
    logService: logService.url,
    vmList: vmList.url,
    operatorKeyHash: createHash("sha256").update(operatorKey).digest("hex"),
    sharedSecret: "bench-shared-secret-of-all-routers-0123456789",
    logs: "",
  };
  const router = resources.use(await startRouter(parseRouterSettings(JSON.stringify(settings), "bench")));
  await waitForEngines(router.url, engineUrls.length);
  const owned = resources.move();
  return { url: router.url, [Symbol.asyncDispose]: () => owned[Symbol.asyncDispose]() };
};
