/** A router that passes requests on untouched, put together. */
import { randomBytes } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import type { Clock } from "../coordination/clock.ts";
import { systemClock } from "../coordination/clock.ts";
import type { Admit } from "../coordination/forwarding/admit.ts";
import { createAdmit } from "../coordination/forwarding/admit.ts";
import { createAnswerCheck } from "../coordination/forwarding/answerCheck.ts";
import { shutdownInterval, storeTimeoutShare } from "../coordination/forwarding/constants.ts";
import { createEnginePlacement } from "../coordination/forwarding/enginePlacement.ts";
import { createForwardAttempt } from "../coordination/forwarding/forwardAttempt.ts";
import type { Forwarder } from "../coordination/forwarding/forwarder.ts";
import { createForwarder } from "../coordination/forwarding/forwarder.ts";
import { createPartSaving } from "../coordination/forwarding/partSaving.ts";
import { createPartWait } from "../coordination/forwarding/partWait.ts";
import { createPlacement } from "../coordination/forwarding/placement.ts";
import { createReplicaEstimates } from "../coordination/forwarding/replicaEstimates.ts";
import { createReplicaHealth } from "../coordination/forwarding/replicaHealth.ts";
import { startReplicaWatch } from "../coordination/forwarding/replicaWatch.ts";
import { createRetryShare } from "../coordination/forwarding/retryShare.ts";
import type { Shutdown } from "../coordination/forwarding/shutdown.ts";
import { createShutdown } from "../coordination/forwarding/shutdown.ts";
import type { ForwardingBounds } from "../coordination/forwarding/types.ts";
import { createHolderName, startWeightsOrders } from "../coordination/forwarding/weightsOrders.ts";
import { rendezvousFirst } from "../coordination/membership/rendezvous.ts";
import type { ConnectPlatform, ForwardingPlatform } from "../protocol/forwarding/ForwardingPlatform.ts";
import type { RouterEntry } from "../protocol/forwarding/types.ts";
import { createResourceStack } from "../protocol/resourceStack.ts";
import type { ResourceStack } from "../protocol/resourceStack.ts";
import { createLogger } from "../state/log.ts";
import type { Metrics } from "../state/Metrics.ts";
import { ExpositionMetrics } from "../transport/expositionMetrics.ts";
import { startForwardingServer } from "../transport/forwarding/forwardingServer.ts";
import { startStatusServer } from "../transport/forwarding/statusServer.ts";
import { openUdpLink } from "../transport/forwarding/udpLink.ts";
import type { ForwardingBeliefs } from "./forwardingBeliefs.ts";
import { startForwardingBeliefs } from "./forwardingBeliefs.ts";
import type { ForwardingSettings } from "./forwardingSettings.ts";

const writeLog = createLogger("router");

const millisecondsPerSecond = 1_000;

/** Of the random name that tells a start of a router from all others; it is in every message to peers. */
const incarnationBytes = 9;

/** A running router. */
export interface ForwardingRouter extends AsyncDisposable {
  /** Where callers connect. */
  readonly port: number;
  /** Where the balancer asks. */
  readonly readinessPort: number;
  /** Takes over settings that changed. */
  readonly reload: (settings: ForwardingSettings) => void;
  /** Takes no new connections, ends what is under way, and resolves when the process can end. */
  readonly drain: () => Promise<void>;
}

const boundsOf = ({ bounds }: ForwardingSettings): ForwardingBounds => ({
  keyRevocation: bounds.keyRevocation,
  drain: bounds.drain,
  lease: bounds.lease,
  weights: bounds.weights,
  shutdownGrace: bounds.shutdownGraceSeconds * millisecondsPerSecond,
  retryRatio: bounds.retryRatio,
  retryWindow: bounds.retryWindowSeconds * millisecondsPerSecond,
  retryReserve: bounds.retryReserve,
});

const describeSelf = ({ name, dataCentre, peers }: ForwardingSettings, port: number): RouterEntry => ({
  name,
  incarnation: randomBytes(incarnationBytes).toString("base64url"),
  dataCentre,
  address: peers.address,
  port,
});

interface DecisionParts {
  readonly self: RouterEntry;
  readonly platform: ForwardingPlatform;
  readonly beliefs: ForwardingBeliefs;
  readonly admit: Admit;
  readonly shutdown: Shutdown;
  readonly bounds: ForwardingBounds;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/** Puts together what decides about requests. */
const createDecisions = (parts: DecisionParts, resources: ResourceStack): Forwarder => {
  const { self, platform, beliefs, admit, shutdown, bounds, clock, metrics } = parts;
  const { configuration, replicas, holders, peers, cacheStore } = beliefs;
  const { replicaClient: client } = platform;
  const estimates = createReplicaEstimates();
  const health = createReplicaHealth(replicas, clock);

  resources.use(startReplicaWatch({ replicas, client, health, clock }));

  replicas.subscribe((entry, departure) => {
    writeLog("replica", { replica: entry.id, service: entry.service, state: departure ?? "ready" });
    if (departure !== undefined) holders.forget(entry.id);
    if (departure !== "gone") return;
    estimates.forget(entry.id);
    client.forget(entry);
  });

  const { dataCentre } = self;
  const { farDelay } = peers;
  const saving = createPartSaving({ clock, routers: peers.countServing });
  const engines = createEnginePlacement({
    replicas,
    configuration,
    holders,
    estimates,
    clock,
    bounds,
    dataCentre,
    farDelay,
    store: cacheStore.usable,
    saving,
  });
  return createForwarder({
    admit,
    placement: createPlacement({
      replicas,
      estimates,
      clock,
      dataCentre,
      farDelay,
      engines,
    }),
    attempt: createForwardAttempt({
      client,
      check: createAnswerCheck({ replicas, client, clock, onLeaving: peers.tellLeaving }),
      holders,
      tellHolder: peers.tellHolder,
      onLongPrompt: peers.tellWork,
      estimates,
      health,
      saving,
      metrics,
      clock,
    }),
    partWait: createPartWait({ holders, clock }),
    retryShare: createRetryShare({ clock, bounds, routers: peers.countServing }),
    configuration,
    shutdown,
    metrics,
    clock,
  });
};

/** A replica's connections are shared by all routers. */
const shareConnections = ({ replicaClient }: ForwardingPlatform, beliefs: ForwardingBeliefs): void => {
  const { configuration, replicas, peers } = beliefs;
  const routers = peers.countServing();
  for (const { entry } of replicas.all()) {
    const most = configuration.table()?.findService(entry.service)?.maximumConnections;
    if (most !== undefined) replicaClient.limitConnections(entry, Math.floor(most / routers));
  }
};

/** Starts a router; it serves as soon as it knows its configuration and the replicas. */
export const startForwardingRouter = async (
  settings: ForwardingSettings,
  connect: ConnectPlatform,
): Promise<ForwardingRouter> => {
  await using resources = createResourceStack();
  const clock = systemClock;
  const metrics = new ExpositionMetrics();
  const bounds = { ...boundsOf(settings) };
  const storeTimeout = bounds.keyRevocation * storeTimeoutShare;
  const platform = resources.use(connect({ store: settings.store, storeTimeout }));
  const link = resources.use(await openUdpLink(settings.peers));
  const self = describeSelf(settings, link.port);
  const shutdown = createShutdown(clock, bounds);

  const beliefs = resources.use(
    startForwardingBeliefs({
      self,
      platform,
      link,
      clock,
      bounds,
      onConfiguration: () => {
        server.applyLimits();
        shareConnections(platform, beliefs);
      },
    }),
  );
  const { configuration, replicas, peers } = beliefs;
  replicas.subscribe((_, departure) => {
    if (departure === undefined) shareConnections(platform, beliefs);
  });
  const admit = createAdmit(configuration, bounds, clock);
  const forwarder = createDecisions(
    { self, platform, beliefs, admit, shutdown, bounds, clock, metrics },
    resources,
  );

  const orders = resources.use(
    startWeightsOrders({
      replicas,
      configuration,
      client: platform.replicaClient,
      peers,
      log: platform.log,
      clock,
      metrics,
      bounds,
      holder: createHolderName(settings.name),
      // Whoever comes first among those that reach the store; a router whose store is lost soon doesn't.
      isCandidate: () => {
        const candidates = peers.inTouch(bounds.keyRevocation / 2);
        return !shutdown.isUnderWay() && rendezvousFirst("weights", candidates) === self.name;
      },
    }),
  );

  const isReady = (): boolean => !shutdown.isUnderWay() && beliefs.knowsReplicas() && admit.isFresh();

  const server = resources.use(
    await startForwardingServer({
      address: settings.callers.address,
      port: settings.callers.port,
      wire: platform.wire,
      forward: forwarder.forward,
      limits: () => configuration.table()?.configuration.limits,
      // A caller of a router that can't serve is better off with another one.
      endsConnections: () => !isReady(),
    }),
  );
  const status = resources.use(
    await startStatusServer({
      readiness: settings.readiness,
      metrics: { address: settings.callers.address, port: settings.metricsPort },
      isReadyPath: (path) => platform.wire.isReadyPath(path),
      isReady,
      metricsText: () => metrics.text(),
    }),
  );
  const url = `http://${settings.callers.address}:${server.port}`;
  writeLog("listening", { incarnation: self.incarnation, url });

  const drain = async (): Promise<void> => {
    shutdown.begin();
    peers.standDown();
    const handedOver = orders[Symbol.asyncDispose]();
    await sleep(Math.max(0, shutdown.untilNoticed()));
    await Promise.race([handedOver, sleep(Math.max(0, shutdown.untilOver()))]);
    peers.leave();
    const settle = async (): Promise<void> => {
      while (forwarder.openRequests() > 0 && shutdown.untilOver() > 0) await sleep(shutdownInterval);
    };
    await settle();
    server.closeIdle();
    // What was on its way when the connections were closed.
    await sleep(shutdownInterval);
    await settle();
    writeLog("drained", { openRequests: forwarder.openRequests() });
  };

  const owned = resources.move();
  return {
    port: server.port,
    readinessPort: status.port,
    reload: (changed) => {
      Object.assign(bounds, boundsOf(changed));
    },
    drain,
    [Symbol.asyncDispose]: () => owned[Symbol.asyncDispose](),
  };
};
