/**
 * Tasks that one router does for all, under leases: sending orders to engines, and republishing the configuration
 * before its log records expire.
 */
import type { Clock } from "../coordination/clock.ts";
import { republicationLeaseName } from "../coordination/leases/constants.ts";
import { createLeaseHistory } from "../coordination/leases/leaseHistory.ts";
import type { LeaseView } from "../coordination/leases/types.ts";
import { startDeploymentOrders } from "../coordination/orders/deploymentOrders.ts";
import type { RollOutView } from "../coordination/orders/types.ts";
import { startRepublication } from "../coordination/republication.ts";
import type { LogService } from "../protocol/LogService.ts";
import type { ModelEngine } from "../protocol/ModelEngine.ts";
import { createResourceStack } from "../protocol/resourceStack.ts";
import type { EngineReplica } from "../state/engineDirectory.ts";
import type { Metrics } from "../state/Metrics.ts";
import type { RouterView } from "./routerView.ts";
import type { RouterSettings } from "./routerSettings.ts";

/** Milliseconds. */
const orderInterval = 250;

/** Lease duration while no configuration is in force, milliseconds. */
const idleLeaseDuration = 10_000;

export interface RouterDutiesDependencies {
  readonly settings: RouterSettings;
  /** Identifies this start of the router. */
  readonly incarnation: string;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: LogService;
  readonly connect: (engine: EngineReplica) => ModelEngine;
  readonly view: RouterView;
}

/** Runs until it is disposed of; then the leases are released. */
export interface RouterDuties extends AsyncDisposable {
  readonly leases: () => readonly LeaseView[];
  readonly rollOuts: () => readonly RollOutView[];
}

/** Tries to acquire the leases that this router is a candidate for. */
export const startRouterDuties = (dependencies: RouterDutiesDependencies): RouterDuties => {
  const { settings, clock, metrics, log, view } = dependencies;
  const { peers, follower, directory, history } = view;
  const resources = createResourceStack();
  const common = { log, clock, metrics, holder: `${settings.name}/${dependencies.incarnation}` };
  const leases = createLeaseHistory(clock);
  const orders = resources.use(
    startDeploymentOrders({
      ...common,
      history: leases,
      isCandidate: (lease) => peers.membership.isHome(lease),
      configuration: follower.current,
      directory,
      connect: dependencies.connect,
      isListedLeaving: view.isListedLeaving,
      interval: orderInterval,
      loadTimeout: settings.loadTimeout,
    }),
  );
  const republication = resources.use(
    startRepublication({
      ...common,
      leases,
      isCandidate: () => peers.membership.isHome(republicationLeaseName),
      configuration: history,
      retention: settings.logRetention,
      duration: () => follower.current()?.configuration.limits.leaseDuration ?? idleLeaseDuration,
    }),
  );
  return {
    leases: () => [...orders.leases(), republication.view()],
    rollOuts: orders.rollOuts,
    [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose](),
  };
};
