/** Keeps a lease and an order holder for each deployment that the configuration names. */
import type { LogService } from "../../protocol/LogService.ts";
import { pause } from "../clock.ts";
import { orderLeaseName } from "../leases/constants.ts";
import { startLease } from "../leases/lease.ts";
import type { LeaseHistory } from "../leases/leaseHistory.ts";
import type { LeaseView } from "../leases/types.ts";
import type { EngineSurveyParts } from "./engineLoadCache.ts";
import { startOrderHolder } from "./rollOutController.ts";
import type { RollOutParts } from "./rollOut.ts";
import type { RollOutView } from "./types.ts";

/** What the orders of all deployments work with. */
export interface DeploymentOrdersDependencies extends Omit<RollOutParts, "deployment">, EngineSurveyParts {
  readonly log: LogService;
  readonly history: LeaseHistory;
  /** Names this process among all holders. */
  readonly holder: string;
  /** Whether this router should try to get a lease. */
  readonly isCandidate: (lease: string) => boolean;
}

/** Runs until it is disposed of; then it hands its leases over. */
export interface DeploymentOrders extends AsyncDisposable {
  readonly leases: () => readonly LeaseView[];
  readonly rollOuts: () => readonly RollOutView[];
}

/** Used while no configuration is in force; nothing is held then. */
const fallbackDuration = 10_000;

/** Starts with no deployment and follows the configuration. */
export const startDeploymentOrders = (parts: DeploymentOrdersDependencies): DeploymentOrders => {
  const stop = new AbortController();
  const duration = (): number =>
    parts.configuration()?.configuration.limits.leaseDuration ?? fallbackDuration;

  const startOne = (deployment: string) => {
    const name = orderLeaseName(deployment);
    const lease = startLease({ ...parts, name, duration, isCandidate: () => parts.isCandidate(name) });
    const holder = startOrderHolder({ ...parts, deployment, lease });
    const end = async (): Promise<void> => {
      await holder[Symbol.asyncDispose]();
      await lease[Symbol.asyncDispose]();
    };
    return { lease, holder, end };
  };
  const deployments = new Map<string, ReturnType<typeof startOne>>();

  const follow = async (): Promise<void> => {
    const configuration = parts.configuration()?.configuration;
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
      await follow();
      await pause(parts.clock, parts.interval, stop.signal);
    }
    await Promise.all([...deployments.values()].map(({ end }) => end()));
  };
  const task = run();

  return {
    leases: () => [...deployments.values()].map(({ lease }) => lease.view()),
    rollOuts: () => [...deployments.values()].map(({ holder }) => holder.view()),
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await task;
    },
  };
};
