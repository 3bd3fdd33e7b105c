/** What one router of several does for all of them, by leases: orders to engines, and the restatement. */
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
import type { RouterBeliefs } from "./routerView.ts";
import type { RouterSettings } from "./routerSettings.ts";

const orderInterval = 250;

/** Of a lease that is sought while no configuration is in force. */
const idleLeaseDuration = 10_000;

/** What duties are done with. */
export interface RouterDutiesParts {
  readonly settings: RouterSettings;
  /** Of this process. */
  readonly incarnation: string;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: LogService;
  readonly connect: (engine: EngineReplica) => ModelEngine;
  readonly beliefs: RouterBeliefs;
}

/** Runs until it is disposed of; then the leases are handed over. */
export interface RouterDuties extends AsyncDisposable {
  readonly leases: () => readonly LeaseView[];
  readonly rollOuts: () => readonly RollOutView[];
}

/** Seeks the leases that fall to this router. */
export const startRouterDuties = (parts: RouterDutiesParts): RouterDuties => {
  const { settings, clock, metrics, log, beliefs } = parts;
  const { peers, follower, directory, history } = beliefs;
  const resources = createResourceStack();
  const common = { log, clock, metrics, holder: `${settings.name}/${parts.incarnation}` };
  const leases = createLeaseHistory(clock);
  const orders = resources.use(
    startDeploymentOrders({
      ...common,
      history: leases,
      isCandidate: (lease) => peers.membership.isHome(lease),
      configuration: follower.current,
      directory,
      connect: parts.connect,
      isListedLeaving: beliefs.isListedLeaving,
      interval: orderInterval,
      loadTimeout: settings.loadTimeout,
    }),
  );
  const restatement = resources.use(
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
    leases: () => [...orders.leases(), restatement.view()],
    rollOuts: orders.rollOuts,
    [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose](),
  };
};
