/** Runs a lease and a roll-out controller for each deployment in the configuration. */
import type { LogService } from "../../protocol/LogService.ts";
import { pause } from "../clock.ts";
import { orderLeaseName } from "../leases/constants.ts";
import { startLease } from "../leases/lease.ts";
import type { LeaseHistory } from "../leases/leaseHistory.ts";
import type { LeaseView } from "../leases/types.ts";
import type { EngineLoadCacheDependencies } from "./engineLoadCache.ts";
import { startRollOutController } from "./rollOutController.ts";
import type { RollOutDependencies } from "./rollOut.ts";
import type { RollOutView } from "./types.ts";

export interface DeploymentOrdersDependencies
  extends Omit<RollOutDependencies, "deployment">, EngineLoadCacheDependencies {
  readonly log: LogService;
  readonly history: LeaseHistory;
  /** Identifies this process among all lease holders. */
  readonly holder: string;
  /** Whether this router should try to acquire the lease. */
  readonly isCandidate: (lease: string) => boolean;
}

/** Runs until it is disposed; then it releases its leases. */
export interface DeploymentOrders extends AsyncDisposable {
  readonly leases: () => readonly LeaseView[];
  readonly rollOuts: () => readonly RollOutView[];
}

/** Lease duration in milliseconds while there is no configuration; no lease is held then. */
const defaultLeaseDuration = 10_000;

/** Starts without deployments and follows the configuration. */
export const startDeploymentOrders = (dependencies: DeploymentOrdersDependencies): DeploymentOrders => {
  const stop = new AbortController();
  const duration = (): number =>
    dependencies.configuration()?.configuration.limits.leaseDuration ?? defaultLeaseDuration;

  const startOne = (deployment: string) => {
    const name = orderLeaseName(deployment);
    const lease = startLease({
      ...dependencies,
      name,
      duration,
      isCandidate: () => dependencies.isCandidate(name),
    });
    const controller = startRollOutController({ ...dependencies, deployment, lease });
    const end = async (): Promise<void> => {
      await controller[Symbol.asyncDispose]();
      await lease[Symbol.asyncDispose]();
    };
    return { lease, controller, end };
  };
  const deployments = new Map<string, ReturnType<typeof startOne>>();

  const applyConfiguration = async (): Promise<void> => {
    const configuration = dependencies.configuration()?.configuration;
    if (configuration === undefined) return;
    const names = new Set(configuration.deployments.map(({ name }) => name));
    for (const name of names) {
      if (!deployments.has(name)) deployments.set(name, startOne(name));
    }
    for (const [name, deployment] of deployments) {
      if (names.has(name)) continue;
      deployments.delete(name);
      await deployment.end();
    }
  };

  const run = async (): Promise<void> => {
    while (!stop.signal.aborted) {
      await applyConfiguration();
      await pause(dependencies.clock, dependencies.interval, stop.signal);
    }
    await Promise.all([...deployments.values()].map(({ end }) => end()));
  };
  const task = run();

  return {
    leases: () => [...deployments.values()].map(({ lease }) => lease.view()),
    rollOuts: () => [...deployments.values()].map(({ controller }) => controller.view()),
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await task;
    },
  };
};
