/** A router that passes requests on untouched, put together. */
import { randomBytes } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { systemClock } from "../coordination/clock.ts";
import { createRequestAdmission } from "../coordination/forwarding/requestAdmission.ts";
import { shutdownPollInterval, storeTimeoutShare } from "../coordination/forwarding/constants.ts";
import { createDecisions } from "../coordination/forwarding/decisions.ts";
import { defaultLoadPolicy } from "../coordination/forwarding/loadPolicy.ts";
import { createShutdown } from "../coordination/forwarding/shutdown.ts";
import type { ForwardingBounds } from "../coordination/forwarding/types.ts";
import { createHolderName, startWeightsOrders } from "../coordination/forwarding/weightsOrders.ts";
import { rendezvousFirst } from "../coordination/membership/rendezvous.ts";
import type { ConnectPlatform, ForwardingPlatform } from "../protocol/forwarding/ForwardingPlatform.ts";
import type { RouterEntry } from "../protocol/forwarding/types.ts";
import { createResourceStack } from "../protocol/resourceStack.ts";
import { metricNames } from "../state/constants.ts";
import { createLogger } from "../state/log.ts";
import { PrometheusMetrics } from "../transport/PrometheusMetrics.ts";
import { startForwardingServer } from "../transport/forwarding/forwardingServer.ts";
import { startStatusServer } from "../transport/forwarding/statusServer.ts";
import { openUdpLink } from "../transport/forwarding/udpLink.ts";
import type { ForwardingBeliefs } from "./forwardingView.ts";
import { startForwardingBeliefs } from "./forwardingView.ts";
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
  limitWindow: bounds.limitWindowSeconds * millisecondsPerSecond,
  limitOvershoot: bounds.limitOvershoot,
  limitReserve: bounds.limitReserve,
});

const describeSelf = ({ name, dataCentre, peers }: ForwardingSettings, port: number): RouterEntry => ({
  name,
  incarnation: randomBytes(incarnationBytes).toString("base64url"),
  dataCentre,
  address: peers.address,
  port,
});

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
  const metrics = new PrometheusMetrics();
  const bounds = { ...boundsOf(settings) };
  const storeTimeout = bounds.keyRevocation * storeTimeoutShare;
  const platform = resources.use(connect({ store: settings.store, storeTimeout }));
  platform.epochs.subscribe(() => metrics.count(metricNames.storeEpochChanges));
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
  const admit = createRequestAdmission(configuration, bounds, clock);
  const { forwarder } = resources.use(
    createDecisions({
      dataCentre: self.dataCentre,
      client: platform.replicaClient,
      view: beliefs,
      admit,
      shutdown,
      bounds,
      policy: defaultLoadPolicy,
      clock,
      metrics,
      random: Math.random,
    }),
  );

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
      // Whoever comes first among those that reach the store; a router whose store is lost soon doesn't.
      isCandidate: () => {
        const candidates = peers.dutyCandidates(bounds.keyRevocation / 2);
        return !shutdown.isInProgress() && rendezvousFirst("weights", candidates) === self.name;
      },
    }),
  );

  const isReady = (): boolean =>
    !shutdown.isInProgress() && beliefs.knowsReplicas() && beliefs.quarantine.isReady() && admit.isFresh();

  const server = resources.use(
    await startForwardingServer({
      address: settings.callers.address,
      port: settings.callers.port,
      wire: platform.wire,
      forward: forwarder.forward,
      limits: () => configuration.table()?.configuration.limits,
      // A caller of a router that can't serve is better off with another one.
      shouldCloseConnections: () => !isReady(),
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
    peers.stepDown();
    const handedOver = orders[Symbol.asyncDispose]();
    await sleep(Math.max(0, shutdown.untilBalancerNotices()));
    await Promise.race([handedOver, sleep(Math.max(0, shutdown.untilDeadline()))]);
    peers.leave();
    const settle = async (): Promise<void> => {
      while (forwarder.openRequests() > 0 && shutdown.untilDeadline() > 0) await sleep(shutdownPollInterval);
    };
    await settle();
    server.closeIdle();
    // What was on its way when the connections were closed.
    await sleep(shutdownPollInterval);
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
