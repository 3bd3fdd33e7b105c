/**
 * Rolls out the weights that the operator wants to all engines. One router at a time does so, elected by a lease in the
 * platform's log. Used by daemons/forwardingRouter.ts, which forwards requests unchanged.
 *
 * Engines are drained for a moment before they load, a limited number of them loads at the same time, and each loads
 * the newest weights published by then, not superseded ones.
 */
import { randomUUID } from "node:crypto";
import type { LogService } from "../../protocol/LogService.ts";
import type { EpochSource } from "../../protocol/storeEpoch.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import { totalRequests } from "../../state/forwarding/replicaState.ts";
import { pause } from "../clock.ts";
import type { ReplicaPaths } from "../replicaPaths/replicaPaths.ts";
import { isBackingOff } from "../replicaReports/backoff.ts";
import { startLease } from "../leases/lease.ts";
import { createLeaseHistory } from "../leases/leaseHistory.ts";
import type { LeaseView, Tenure } from "../leases/types.ts";
import { drainingShare, minSimultaneousLoads, minServingShare, rollOutPollIntervals } from "./constants.ts";
import type { ForwardingBounds } from "./types.ts";
import type { WeightsChangeDependencies } from "./weightsChange.ts";
import { createWeightsChange } from "./weightsChange.ts";
import { runTask } from "../../state/backgroundTasks.ts";

export interface WeightsOrdersDependencies extends Omit<WeightsChangeDependencies, "signal" | "mayOrder"> {
  readonly log: LogService;
  readonly epochs: Pick<EpochSource, "current">;
  readonly bounds: ForwardingBounds;
  /** @returns Whether this router may acquire the lease. */
  readonly isCandidate: () => boolean;
  /** A router without paths leaves the lease to another one, and one that doesn't know of any sends no orders. */
  readonly paths: Pick<ReplicaPaths, "isPartitioned" | "isProven">;
}

/** Runs until it is disposed of; releases the lease then. */
export interface WeightsOrders extends AsyncDisposable {
  /** @returns The lease as an operator sees it. */
  readonly view: () => LeaseView;
}

const leaseName = "weights";

/** Starts to acquire the lease, and to send orders while it is held. */
export const startWeightsOrders = (dependencies: WeightsOrdersDependencies): WeightsOrders => {
  const { replicas, clock, bounds } = dependencies;
  const stopping = new AbortController();
  const tasks = new Map<string, Promise<void>>();
  const lease = startLease({
    ...dependencies,
    name: leaseName,
    history: createLeaseHistory(clock),
    duration: () => bounds.lease,
    epoch: dependencies.epochs.current,
    mustRelease: () =>
      dependencies.paths.isPartitioned() && clock.monotonic() >= lastOrderAt() + bounds.lease,
  });

  /**
   * Engines that don't compare fencing numbers must not get orders of two holders close together, so a new holder waits
   * until the previous one's orders are a lease duration old. It need not wait in the very first tenure, or after a
   * holder that released the lease, since that one waited itself.
   */
  const mayOrder = (tenure: Tenure): boolean => {
    if (stopping.signal.aborted || dependencies.paths.isPartitioned() || !tenure.isValid()) return false;
    const hasNoPredecessor = tenure.fencingNumber === 0 || tenure.followsRelease;
    return hasNoPredecessor || clock.monotonic() >= tenure.beganAt + bounds.lease;
  };

  /** Waits until the last order is a lease duration old, before the lease is released. */
  const waitAfterLastOrder = async (): Promise<void> => {
    const since = clock.monotonic() - lastOrderAt();
    if (lease.tenure() !== undefined) await pause(clock, Math.max(0, bounds.lease - since));
  };
  const { missingWeights, maxSimultaneousLoads, change, lastOrderAt } = createWeightsChange({
    ...dependencies,
    signal: stopping.signal,
    mayOrder,
  });

  /** Engines that load, and those that drain meanwhile so that the next load can start at once. */
  const maxChanging = (): number => {
    const loads = maxSimultaneousLoads();
    return loads + Math.max(minSimultaneousLoads, Math.ceil(loads * drainingShare));
  };

  const mayStartIn = (service: string): boolean => {
    const serving = replicas.serving(service);
    const changing = serving.filter(({ entry }) => tasks.has(entry.id)).length;
    return serving.length <= 1 || serving.length - changing - 1 >= serving.length * minServingShare;
  };

  const start = async (tenure: Tenure, replica: ReplicaState): Promise<void> => {
    const { id } = replica.entry;
    await runTask("changeWeights", () => change(tenure, replica), id);
    tasks.delete(id);
  };

  /** @returns Whether any reachable engine lacks wanted weights. */
  const startChanges = (tenure: Tenure): boolean => {
    const outdated = replicas
      .all()
      // An unreachable engine would block one of the simultaneous loads until it is given up.
      .filter((replica) => !replica.isUnreachable && !isBackingOff(replica, clock.monotonic()))
      .filter((replica) => missingWeights(replica) !== undefined)
      .sort((left, right) => totalRequests(left) - totalRequests(right));
    if (outdated.length > 0 && !dependencies.paths.isProven()) return true;
    for (const replica of outdated) {
      const { id, service } = replica.entry;
      if (tasks.size >= maxChanging() || tasks.has(id) || !mayStartIn(service)) continue;
      tasks.set(id, start(tenure, replica));
    }
    return outdated.length > 0;
  };

  const run = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      let interval: number = rollOutPollIntervals.withoutLease;
      await runTask("orderWeights", () => {
        const tenure = lease.tenure();
        if (tenure === undefined) return;
        interval = rollOutPollIntervals.idle;
        if (mayOrder(tenure) && startChanges(tenure)) interval = rollOutPollIntervals.busy;
      });
      await pause(clock, interval, stopping.signal);
    }
    await Promise.all(tasks.values());
  };
  const task = run();

  return {
    view: lease.view,
    [Symbol.asyncDispose]: async () => {
      stopping.abort();
      await task;
      await waitAfterLastOrder();
      await lease[Symbol.asyncDispose]();
    },
  };
};

/** @returns A name for lease records that is unique to this process. */
export const createHolderName = (router: string): string => `${router}/${randomUUID()}`;
