/** Wires up a forwarding router, which passes requests on to replicas unchanged. */
import { randomBytes } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import type { Clock } from "../coordination/clock.ts";
import { systemClock } from "../coordination/clock.ts";
import { createRequestAdmission } from "../coordination/admission/requestAdmission.ts";
import {
  registryTimeoutShare,
  shutdownPollInterval,
  storeTimeoutShare,
} from "../coordination/forwarding/constants.ts";
import type { Decisions } from "../coordination/forwarding/decisions.ts";
import { createDecisions } from "../coordination/forwarding/decisions.ts";
import { registerRetryGauge } from "../coordination/forwarding/retryGauge.ts";
import { createReserveShare } from "../coordination/forwarding/reserveShare.ts";
import { createRetryShare } from "../coordination/forwarding/retryShare.ts";
import type { LoadFeatures } from "../coordination/forwarding/loadFeatures.ts";
import { defaultLoadPolicy } from "../coordination/forwarding/loadPolicy.ts";
import type { Forwarder } from "../coordination/forwarding/forwarder.ts";
import type { RouterPeers } from "../coordination/forwarding/routerPeers.ts";
import type { Shutdown } from "../coordination/forwarding/shutdown.ts";
import { createShutdown } from "../coordination/forwarding/shutdown.ts";
import type { ForwardingBounds } from "../coordination/forwarding/types.ts";
import { createHolderName, startWeightsOrders } from "../coordination/forwarding/weightsOrders.ts";
import { rendezvousFirst } from "../coordination/membership/rendezvous.ts";
import type { ConnectPlatform, ForwardingPlatform } from "../protocol/forwarding/ForwardingPlatform.ts";
import type { CallerLimits, RouterEntry } from "../protocol/forwarding/types.ts";
import type { ForwardingWire } from "../protocol/forwarding/ForwardingWire.ts";
import type { ResourceStack } from "../protocol/resourceStack.ts";
import { createResourceStack } from "../protocol/resourceStack.ts";
import { metricNames } from "../state/constants.ts";
import { createBodyMemory } from "../state/bodyMemory.ts";
import { createLogger } from "../state/log.ts";
import type { Metrics } from "../state/Metrics.ts";
import { PrometheusMetrics } from "../transport/PrometheusMetrics.ts";
import type { ForwardingServer } from "../transport/forwarding/forwardingServer.ts";
import { startForwardingServer } from "../transport/forwarding/forwardingServer.ts";
import { startStatusServer } from "../transport/forwarding/statusServer.ts";
import { createHttpRelayClient } from "../transport/forwarding/HttpRelayClient.ts";
import { openPeerPort } from "../transport/forwarding/peerPort.ts";
import { observeConnections } from "../transport/connectionTable.ts";
import type { RequestIntake } from "../transport/requestIntake.ts";
import { createRequestIntake } from "../transport/requestIntake.ts";
import type { RelayServerDependencies } from "../transport/forwarding/relayServer.ts";
import { startRelayServer } from "../transport/forwarding/relayServer.ts";
import type { ForwardingView } from "./forwardingView.ts";
import { startForwardingView } from "./forwardingView.ts";
import type { ForwardingSettings } from "./forwardingSettings.ts";
import type { CallerBounds } from "./vmSettings.ts";
import { deriveBodyBounds, deriveCallerBounds } from "./vmSettings.ts";
import { steadyNow } from "../state/steadyTime.ts";
import { onTaskFailure } from "../state/backgroundTasks.ts";

const writeLog = createLogger("router");

const millisecondsPerSecond = 1_000;

/** Longest silence of a body until a configuration sets a limit, milliseconds. */
const defaultIdleTimeout = 15_000;

/** Size of the random id that identifies one start of a router; every message to peers carries it. */
const incarnationBytes = 9;

/** A running forwarding router. */
export interface ForwardingRouter extends AsyncDisposable {
  /** The port that callers connect to. */
  readonly port: number;
  /** The port of the load balancer's readiness checks. */
  readonly readinessPort: number;
  /** Applies the bounds of changed settings; the other settings need a restart. */
  readonly reload: (settings: ForwardingSettings) => void;
  /** Shuts down gracefully: fails readiness checks, waits for open requests, and resolves when the process can end. */
  readonly drain: () => Promise<void>;
}

const toForwardingBounds = ({ bounds }: ForwardingSettings): ForwardingBounds => ({
  keyRevocation: bounds.keyRevocation,
  drain: bounds.drain,
  lease: bounds.lease,
  weights: bounds.weights,
  shutdownGrace: bounds.shutdownGraceSeconds * millisecondsPerSecond,
  retryRatio: bounds.retryRatio,
  retryWindow: bounds.retryWindowSeconds * millisecondsPerSecond,
  retryReserve: bounds.retryReserve,
  limitWindow: bounds.limitWindowSeconds * millisecondsPerSecond,
  limitOvershoot: bounds.limitOvershoot,
  limitReserve: bounds.limitReserve,
});

const toLoadFeatures = (
  { guarantees, replicaSpeeds, batchMemory }: ForwardingSettings,
  { guaranteeOf }: ForwardingPlatform,
): LoadFeatures => ({
  fairShares: guarantees.some((name) => guaranteeOf(name) === "fairShares"),
  minSpeedSpread: replicaSpeeds?.minSpread,
  batchMemory,
});

const describeSelf = ({ name, dataCentre, peers }: ForwardingSettings, port: number): RouterEntry => ({
  name,
  incarnation: randomBytes(incarnationBytes).toString("base64url"),
  dataCentre,
  address: peers.address,
  port,
});

/**
 * Divides each replica's connection limit evenly among the routers that serve now. An existing connection pool keeps
 * its limit.
 */
const divideConnectionLimits = (
  { replicaClient }: ForwardingPlatform,
  forwardingView: ForwardingView,
): void => {
  const { configuration, replicas, peers } = forwardingView;
  const routers = peers.countServing();
  for (const { entry } of replicas.all()) {
    const maxConnections = configuration.table()?.findService(entry.service)?.maximumConnections;
    if (maxConnections !== undefined)
      replicaClient.limitConnections(entry, Math.floor(maxConnections / routers));
  }
};

const createMeasuredRetryShare = (
  clock: Clock,
  bounds: ForwardingBounds,
  metrics: Metrics,
  countRouters: () => number,
) => {
  const reserveShare = createReserveShare({ clock, window: bounds.retryWindow, countRouters });
  const retryShare = createRetryShare({ clock, bounds, reserveShare });
  // Before the gauges with a value for each replica: collectors may cut long answers.
  registerRetryGauge(retryShare, metrics);
  return { reserveShare, retryShare };
};

const logStart = (
  { incarnation }: RouterEntry,
  { callers }: ForwardingSettings,
  port: number,
  features: LoadFeatures,
): void => {
  writeLog("listening", { incarnation, url: `http://${callers.address}:${port}` });
  writeLog("features", { ...features, minSpeedSpread: features.minSpeedSpread ?? null });
};

interface DrainDependencies {
  readonly shutdown: Shutdown;
  readonly peers: Pick<RouterPeers, "stepDown" | "leave">;
  readonly orders: AsyncDisposable;
  readonly forwarder: Pick<Forwarder, "openRequests">;
  readonly server: Pick<ForwardingServer, "closeIdle">;
}

const createDrain = ({
  shutdown,
  peers,
  orders,
  forwarder,
  server,
}: DrainDependencies): ForwardingRouter["drain"] => {
  return async () => {
    shutdown.begin();
    peers.stepDown();
    const ordersHandedOver = orders[Symbol.asyncDispose]();
    await sleep(Math.max(0, shutdown.untilBalancerNotices()));
    await Promise.race([ordersHandedOver, sleep(Math.max(0, shutdown.untilDeadline()))]);
    peers.leave();
    const waitForOpenRequests = async (): Promise<void> => {
      while (forwarder.openRequests() > 0 && shutdown.untilDeadline() > 0) await sleep(shutdownPollInterval);
    };
    await waitForOpenRequests();
    server.closeIdle();
    // Waits for requests that were in transit when the idle connections were closed.
    await sleep(shutdownPollInterval);
    await waitForOpenRequests();
    writeLog("drained", { openRequests: forwarder.openRequests() });
  };
};

const createBoundedIntake = (
  bounds: CallerBounds,
  limits: () => CallerLimits | undefined,
  metrics: Metrics,
): RequestIntake => {
  const bodyBounds = () =>
    deriveBodyBounds(bounds, limits()?.bodyBytes ?? 0, limits()?.idleTimeout ?? defaultIdleTimeout);
  return createRequestIntake(createBodyMemory(bodyBounds, metrics, steadyNow), metrics);
};

interface CallerServersDependencies {
  readonly settings: ForwardingSettings;
  readonly wire: ForwardingWire;
  readonly forwarder: Forwarder;
  readonly limits: () => CallerLimits | undefined;
  readonly isReady: () => boolean;
  readonly metrics: Metrics;
}

type RelayPort = Pick<
  RelayServerDependencies,
  "address" | "port" | "listener" | "incarnation" | "isRouterAddress"
>;

/** Starts the servers for callers and for other routers. @returns The one for callers. */
const startCallerServers = async (
  { settings, wire, forwarder, limits, isReady, metrics }: CallerServersDependencies,
  relayPort: RelayPort,
  resources: ResourceStack,
): Promise<ForwardingServer> => {
  const bounds = deriveCallerBounds(settings.vm);
  const shared = {
    wire,
    admitHead: forwarder.admitHead,
    forward: forwarder.forward,
    limits,
    // Shared by both servers, so that the bound holds for all requests of this process.
    intake: resources.use(createBoundedIntake(bounds, limits, metrics)),
    callerBufferBytes: settings.callerBufferBytes ?? bounds.answerBytes,
    metrics,
  };
  const server = resources.use(
    await startForwardingServer({
      ...shared,
      ...settings.callers,
      name: "callers",
      maxConnections: bounds.connections,
      // Closing the connection lets the caller reconnect through the load balancer to a router that is ready.
      shouldCloseConnections: () => !isReady(),
    }),
  );
  const relay = resources.use(
    await startRelayServer({ ...shared, ...relayPort, maxConnections: bounds.routerConnections }),
  );
  observeConnections(metrics, [server.connections, relay.connections]);
  return server;
};

/** Counts failures of tasks in the background until it is disposed of. */
const countTaskFailures = (metrics: Metrics): AsyncDisposable => {
  const stop = onTaskFailure((task) => metrics.count(metricNames.taskFailures, 1, { task }));
  return {
    [Symbol.asyncDispose]: () => {
      stop();
      return Promise.resolve();
    },
  };
};

const connectTo = (
  { store }: ForwardingSettings,
  bounds: ForwardingBounds,
  metrics: Metrics,
  connect: ConnectPlatform,
): ForwardingPlatform => {
  const storeTimeout = bounds.keyRevocation * storeTimeoutShare;
  const registryTimeout = Math.min(storeTimeout, bounds.drain * registryTimeoutShare);
  const onRecordRefused = (topic: string): void => metrics.count(metricNames.recordsRefused, 1, { topic });
  return connect({ store, storeTimeout, registryTimeout, onRecordRefused });
};

/**
 * Starts a router. It is ready while it knows the replicas and the quarantine, its configuration is proven fresh, and
 * it is not shutting down.
 */
export const startForwardingRouter = async (
  settings: ForwardingSettings,
  connect: ConnectPlatform,
): Promise<ForwardingRouter> => {
  await using resources = createResourceStack();
  const clock = systemClock;
  const metrics = new PrometheusMetrics();
  resources.use(countTaskFailures(metrics));
  const bounds = { ...toForwardingBounds(settings) };
  const platform = resources.use(connectTo(settings, bounds, metrics, connect));
  platform.epochs.subscribe(() => metrics.count(metricNames.storeEpochChanges));
  const { link, listener } = resources.use(await openPeerPort(settings.peers));
  const self = describeSelf(settings, link.port);
  const features = toLoadFeatures(settings, platform);
  const shutdown = createShutdown(clock, bounds);

  const countRouters = (): number => forwardingView.peers.countServing();
  const { retryShare, reserveShare } = createMeasuredRetryShare(clock, bounds, metrics, countRouters);
  /** Nothing to apply to until the servers have started. */
  let applyLimits = (): void => undefined;
  const forwardingView = resources.use(
    startForwardingView({
      self,
      platform,
      link,
      clock,
      bounds,
      features,
      metrics,
      reserveShare,
      isPartitioned: () => decisions.paths.isPartitioned(),
      onConfiguration: () => {
        applyLimits();
        divideConnectionLimits(platform, forwardingView);
      },
    }),
  );
  const { configuration, replicas, peers } = forwardingView;
  replicas.subscribe((_, departure) => {
    if (departure === undefined) divideConnectionLimits(platform, forwardingView);
  });
  const admit = createRequestAdmission(configuration, bounds, clock);
  const decisions: Decisions = resources.use(
    createDecisions({
      dataCentre: self.dataCentre,
      client: platform.replicaClient,
      relayClient: resources.use(createHttpRelayClient(platform.wire, self.name)),
      view: forwardingView,
      retryShare,
      admit,
      shutdown,
      bounds,
      policy: defaultLoadPolicy,
      features,
      clock,
      metrics,
      random: Math.random,
    }),
  );

  const { forwarder } = decisions;

  const orders = resources.use(
    startWeightsOrders({
      replicas,
      configuration,
      client: platform.replicaClient,
      peers,
      log: platform.log,
      epochs: platform.epochs,
      clock,
      metrics,
      bounds,
      holder: createHolderName(settings.name),
      paths: decisions.paths,
      // The first in rendezvous order among routers that reach the store; one that has lost it soon drops out.
      isCandidate: () =>
        !shutdown.isInProgress() &&
        rendezvousFirst("weights", peers.dutyCandidates(bounds.keyRevocation / 2)) === self.name &&
        decisions.paths.isProven(),
    }),
  );

  const isReady = (): boolean =>
    !shutdown.isInProgress() &&
    forwardingView.knowsReplicas() &&
    forwardingView.quarantine.isReady() &&
    admit.isFresh();

  const server = await startCallerServers(
    {
      settings,
      wire: platform.wire,
      forwarder,
      limits: () => configuration.table()?.configuration.limits,
      isReady,
      metrics,
    },
    {
      address: self.address,
      port: self.port,
      listener,
      incarnation: self.incarnation,
      isRouterAddress: (address) => peers.serving().some(({ at }) => at.address === address),
    },
    resources,
  );
  ({ applyLimits } = server);
  applyLimits();
  const status = resources.use(
    await startStatusServer({
      readiness: settings.readiness,
      metrics: { address: settings.callers.address, port: settings.metricsPort },
      isReadyPath: (path) => platform.wire.isReadyPath(path),
      isReady,
      metricsText: () => metrics.text(),
      counters: metrics,
    }),
  );
  logStart(self, settings, server.port, features);

  const drain = createDrain({ shutdown, peers, orders, forwarder, server });
  const owned = resources.move();
  return {
    port: server.port,
    readinessPort: status.port,
    reload: (changed) => {
      Object.assign(bounds, toForwardingBounds(changed));
    },
    drain,
    [Symbol.asyncDispose]: () => owned[Symbol.asyncDispose](),
  };
};
