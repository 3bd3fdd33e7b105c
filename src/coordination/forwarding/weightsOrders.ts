/**
 * Brings engines to the weights that the operator wants: one router at a time, by a lease in the platform's log.
 *
 * Engines that are to change get no new work for a moment first, two load at once, and what was named meanwhile is
 * loaded instead of what has been overtaken.
 */
import { randomUUID } from "node:crypto";
import type { LogService } from "../../protocol/LogService.ts";
import type { EpochSource } from "../../protocol/storeEpoch.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import { totalRequests } from "../../state/forwarding/replicaState.ts";
import { pause } from "../clock.ts";
import { isBackingOff } from "../replicaReports/backoff.ts";
import { startLease } from "../leases/lease.ts";
import { createLeaseHistory } from "../leases/leaseHistory.ts";
import type { LeaseView, Tenure } from "../leases/types.ts";
import { drainingShare, fewestLoads, leastServingShare, rollOutIntervals } from "./constants.ts";
import type { ForwardingBounds } from "./types.ts";
import type { WeightsChangeParts } from "./weightsChange.ts";
import { createWeightsChange } from "./weightsChange.ts";

/** What orders work with. */
export interface WeightsOrdersDependencies extends Omit<WeightsChangeParts, "signal" | "mayOrder"> {
  readonly log: LogService;
  readonly epochs: Pick<EpochSource, "current">;
  readonly bounds: ForwardingBounds;
  readonly isCandidate: () => boolean;
}

/** Runs until it is disposed of. */
export interface WeightsOrders extends AsyncDisposable {
  readonly view: () => LeaseView;
}

const leaseName = "weights";

/** Starts to seek the lease and to give orders while it is held. */
export const startWeightsOrders = (parts: WeightsOrdersDependencies): WeightsOrders => {
  const { replicas, clock, bounds } = parts;
  const stop = new AbortController();
  const tasks = new Map<string, Promise<void>>();
  const lease = startLease({
    ...parts,
    name: leaseName,
    history: createLeaseHistory(clock),
    duration: () => bounds.lease,
    epoch: parts.epochs.current,
  });

  /**
   * Engines that don't compare fencing numbers must not see two holders close together: a holder waits until
   * the last one's orders are a lease's duration away. Before the first tenure of all there was no other, and a
   * holder that gives the lease back has waited itself.
   */
  const mayOrder = (tenure: Tenure): boolean => {
    if (stop.signal.aborted || !tenure.isValid()) return false;
    const isAlone = tenure.fencingNumber === 0 || tenure.followsRelease;
    return isAlone || clock.monotonic() >= tenure.beganAt + bounds.lease;
  };

  /** Between the last order and giving the lease back. */
  const rest = async (): Promise<void> => {
    const since = clock.monotonic() - lastOrderAt();
    if (lease.tenure() !== undefined) await pause(clock, Math.max(0, bounds.lease - since));
  };
  const { missing, mostLoads, change, lastOrderAt } = createWeightsChange({
    ...parts,
    signal: stop.signal,
    mayOrder,
  });

  /** Those that load, and those that are emptied meanwhile so that a place never waits. */
  const mostChanging = (): number => {
    const loads = mostLoads();
    return loads + Math.max(fewestLoads, Math.ceil(loads * drainingShare));
  };

  const mayStartIn = (service: string): boolean => {
    const serving = replicas.serving(service);
    const changing = serving.filter(({ entry }) => tasks.has(entry.id)).length;
    return serving.length <= 1 || serving.length - changing - 1 >= serving.length * leastServingShare;
  };

  const start = async (tenure: Tenure, replica: ReplicaState): Promise<void> => {
    await change(tenure, replica);
    tasks.delete(replica.entry.id);
  };

  /** @returns Whether any engine runs other weights than wanted. */
  const startChanges = (tenure: Tenure): boolean => {
    const behind = replicas
      .all()
      // One that can't be reached would hold a place among those that load until it is given up.
      .filter((replica) => !replica.isUnreachable && !isBackingOff(replica, clock.monotonic()))
      .filter((replica) => missing(replica) !== undefined)
      .sort((left, right) => totalRequests(left) - totalRequests(right));
    for (const replica of behind) {
      const { id, service } = replica.entry;
      if (tasks.size >= mostChanging() || tasks.has(id) || !mayStartIn(service)) continue;
      tasks.set(id, start(tenure, replica));
    }
    return behind.length > 0;
  };

  const run = async (): Promise<void> => {
    while (!stop.signal.aborted) {
      const tenure = lease.tenure();
      const isBusy = tenure !== undefined && mayOrder(tenure) && startChanges(tenure);
      const ofHolder = isBusy ? rollOutIntervals.busy : rollOutIntervals.idle;
      await pause(clock, tenure === undefined ? rollOutIntervals.withoutLease : ofHolder, stop.signal);
    }
    await Promise.all(tasks.values());
  };
  const task = run();

  return {
    view: lease.view,
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await task;
      await rest();
      await lease[Symbol.asyncDispose]();
    },
  };
};

/** @returns A name that tells this process from every other. */
export const createHolderName = (router: string): string => `${router}/${randomUUID()}`;
