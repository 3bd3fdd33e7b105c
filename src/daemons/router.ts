/** Wires up one router: the library's counterpart of the `pomelocleat-router` command. */
import { randomUUID } from "node:crypto";
import { StatsD } from "hot-shots";
import { createLogClaimLedger } from "../coordination/claims/logClaimLedger.ts";
import { systemClock } from "../coordination/clock.ts";
import { createCompletionRunner } from "../coordination/requests/completionRunner.ts";
import { createRouterFrontEnd } from "../coordination/requests/routerFrontEnd.ts";
import { RatioRetryBudget } from "../coordination/requests/retryBudget.ts";
import { createServiceRunner } from "../coordination/requests/serviceRunner.ts";
import { createWeightsBinder } from "../coordination/weightsBinder.ts";
import { PredictiveScheduler } from "../coordination/scheduling/PredictiveScheduler.ts";
import { createResourceStack } from "../protocol/resourceStack.ts";
import type { ResourceStack } from "../protocol/resourceStack.ts";
import { createResumeTokens } from "../protocol/resumeToken.ts";
import type { EngineReplica } from "../state/engineDirectory.ts";
import { createLogger } from "../state/log.ts";
import { MemoryMetrics } from "../state/MemoryMetrics.ts";
import type { Metrics } from "../state/Metrics.ts";
import { steadyNow } from "../state/steadyTime.ts";
import { createBodyMemory } from "../state/bodyMemory.ts";
import type { FrontEnd } from "../protocol/FrontEnd.ts";
import { maximumBodyBytes } from "../protocol/constants.ts";
import type { CallerServer } from "../transport/callerServer.ts";
import { completionExpansion, startCallerServer } from "../transport/callerServer.ts";
import { createRequestIntake } from "../transport/requestIntake.ts";
import { deriveBodyBounds, deriveCallerBounds } from "./vmSettings.ts";
import { createGuardedAgent } from "../transport/connectionGuard.ts";
import { createHttpLogService } from "../transport/httpLogService.ts";
import { HttpModelEngine } from "../transport/HttpModelEngine.ts";
import { HttpPlainService } from "../transport/HttpPlainService.ts";
import { createHttpVmList } from "../transport/httpVmList.ts";
import { StatsdMetrics } from "../transport/StatsdMetrics.ts";
import { createCompletionQuarantine } from "./completionQuarantine.ts";
import { createRouterView } from "./routerView.ts";
import { startRouterDuties } from "./routerDuties.ts";
import type { RouterSettings } from "./routerSettings.ts";

const connectTimeout = 1_000;

/** Longest silence of a body, milliseconds. */
const bodyIdleTimeout = 30_000;

const writeLog = createLogger("router");

/** A running router. */
export interface Router extends AsyncDisposable {
  /** Where callers connect: `http://IP:PORT`. */
  readonly url: string;
  /** Where peers connect: `http://IP:PORT`. */
  readonly peerUrl: string;
  /** Closes every connection that peers have to this router; they reconnect by themselves. */
  readonly dropPeerConnections: () => void;
  /** Accepts no new requests and resolves when all open requests have ended. */
  readonly drain: () => Promise<void>;
}

const createMetrics = (settings: RouterSettings, resources: ResourceStack): Metrics => {
  if (settings.statsd === undefined) return new MemoryMetrics();
  const client = new StatsD({
    host: settings.statsd.address,
    port: settings.statsd.port,
    prefix: "pomelocleat.",
    globalTags: { router: settings.name, data_centre: settings.dataCentre },
    errorHandler: () => undefined,
  });
  resources.defer(() => new Promise<void>((resolve) => client.close(() => resolve())));
  return new StatsdMetrics(client);
};

const engineView = (engine: EngineReplica) => ({
  id: engine.id,
  pool: engine.pool,
  dataCentre: engine.dataCentre,
  state: engine.state,
  incarnation: engine.load?.incarnation ?? null,
  model: engine.load?.model ?? null,
  weightsVersion: engine.load?.weightsVersion ?? null,
  running: engine.load?.running ?? null,
  waiting: engine.load?.waiting ?? null,
  leaving: engine.state === "leaving",
  inFlight: engine.inFlight,
});

/** Starts the server for callers, with the bounds that follow from the VM's limits. */
const startBoundedServer = (
  settings: RouterSettings,
  frontEnd: FrontEnd,
  metrics: Metrics,
  resources: ResourceStack,
): Promise<CallerServer> => {
  const bounds = deriveCallerBounds(settings.vm);
  const bodyBounds = deriveBodyBounds(bounds, maximumBodyBytes * completionExpansion, bodyIdleTimeout);
  const memory = createBodyMemory(() => bodyBounds, metrics, steadyNow);
  return startCallerServer(frontEnd, {
    ...settings.callers,
    keepAlive: settings.callerKeepAlive,
    intake: resources.use(createRequestIntake(memory, metrics)),
    maxConnections: bounds.connections,
    metrics,
  });
};

/**
 * Starts a router.
 *
 * @returns The router, which accepts callers' connections at once and is ready as soon as it has a configuration.
 */
export const startRouter = async (settings: RouterSettings): Promise<Router> => {
  await using resources = createResourceStack();
  const incarnation = randomUUID();
  const clock = systemClock;
  const metrics = createMetrics(settings, resources);
  const pool = createGuardedAgent({ connectTimeout, pipelining: 1 });
  resources.defer(() => pool.destroy());
  const log = createHttpLogService({ url: settings.logService, timeout: settings.platformTimeout });
  const vmList = createHttpVmList({ url: settings.vmList, timeout: settings.platformTimeout });

  const connect = (engine: EngineReplica) => new HttpModelEngine(engine.url, pool);
  const view = resources.use(createRouterView({ settings, clock, metrics, log, vmList, connect }));
  const { history, follower, directory, serviceDirectory, peers } = view;

  const completionQuarantine = resources.use(
    createCompletionQuarantine({ log, connect, metrics, clock, longPoll: settings.configurationLongPoll }),
  );

  // Registered after the view, so disposed of before it: this aborts the calls that its followers wait for.
  resources.use(log);
  resources.use(vmList);

  const duties = resources.use(
    startRouterDuties({ settings, incarnation, clock, metrics, log, connect, view }),
  );

  const scheduler = new PredictiveScheduler({
    directory,
    clock,
    configuration: follower.current,
    dataCentre: settings.dataCentre,
    liveRouters: () => peers.membership.liveMembers().length,
    organisationShare: view.routerShare,
  });
  resources.defer(() => {
    scheduler[Symbol.dispose]();
    return undefined;
  });
  const retention = (): number => follower.current()?.configuration.limits.claimRetention ?? 0;
  const claims = resources.use(createLogClaimLedger({ log, clock, metrics, retention }));
  const retryBudget = new RatioRetryBudget(clock);
  const completions = createCompletionRunner({
    directory,
    scheduler,
    claims,
    retryBudget,
    metrics,
    clock,
    connect,
    quarantine: completionQuarantine.quarantine,
    crashes: completionQuarantine.crashes,
    bindWeights: createWeightsBinder({ directory, formerModels: (name) => history.formerModels(name) }),
  });
  // No keep-alive: each call that must run at most once gets its own connection.
  const singleUse = createGuardedAgent({ connectTimeout, pipelining: 0 });
  resources.defer(() => singleUse.destroy());
  const services = createServiceRunner({
    directory: serviceDirectory,
    claims,
    retryBudget,
    metrics,
    clock,
    dataCentre: settings.dataCentre,
    connect: (replica, idempotent) => new HttpPlainService(replica.url, idempotent ? pool : singleUse),
  });

  const version = () => ({
    router: settings.name,
    dataCentre: settings.dataCentre,
    incarnation,
    configurationVersion: history.current()?.version ?? null,
    digest: history.current()?.digest ?? null,
    ready: frontEnd.isReady(),
    configuration: peers.configuration.dump(),
    peers: peers.versions(),
  });
  const engines = () => ({ engines: directory.all().map(engineView) });
  const dump = () => ({
    ...version(),
    openRequests: frontEnd.openRequests(),
    metrics: metrics.snapshot(),
    scheduler: scheduler.dump(),
    completions: completions.dump(),
    ...engines(),
    services: serviceDirectory.all(),
    claims: claims.dump(),
    membership: peers.dump(),
    leases: duties.leases(),
    rollOuts: duties.rollOuts(),
  });
  const frontEnd = createRouterFrontEnd({
    configuration: follower.current,
    completions,
    services,
    resumeTokens: createResumeTokens(settings.sharedSecret),
    metrics,
    clock,
    operatorKeyHash: settings.operatorKeyHash,
    views: { version, dump, engines },
  });

  const server = resources.use(await startBoundedServer(settings, frontEnd, metrics, resources));
  const peerUrl = await view.start();
  writeLog("listening", { router: settings.name, url: server.url, peerUrl, incarnation });

  const drain = async (): Promise<void> => {
    writeLog("draining", { openRequests: frontEnd.openRequests() });
    peers.leave();
    server.disableKeepAlive();
    await frontEnd.drain();
    await claims.flush();
    await server.close();
    writeLog("drained");
  };
  const owned = resources.move();
  return {
    url: server.url,
    peerUrl,
    dropPeerConnections: peers.dropConnections,
    drain,
    [Symbol.asyncDispose]: () => owned[Symbol.asyncDispose](),
  };
};
