/**
 * Changes the model weights that one engine runs: drains it for a moment, sends the order, and polls until it has
 * loaded them.
 */
import { upstreamError } from "../../protocol/errors.ts";
import type { ReplicaClient } from "../../protocol/forwarding/ReplicaClient.ts";
import type { EngineStatus, WeightsTarget } from "../../protocol/forwarding/types.ts";
import { createLogger } from "../../state/log.ts";
import type { Metrics } from "../../state/Metrics.ts";
import { metricNames } from "../../state/constants.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import { isDifferentIncarnation, totalRequests } from "../../state/forwarding/replicaState.ts";
import type { Clock } from "../clock.ts";
import { pause } from "../clock.ts";
import type { Tenure } from "../leases/types.ts";
import { withTimeLimit } from "../timeLimit.ts";
import type { ConfigurationState } from "./configurationState.ts";
import {
  changingTimeout,
  changeRetryDelay,
  drainTimeBeforeLoad,
  drainPollInterval,
  firstLoadPollDelay,
  loadPollInterval,
  loadTimeLimit,
  orderTimeout,
} from "./constants.ts";
import { createWeightsLoadConcurrency } from "./weightsLoadConcurrency.ts";
import type { RouterPeers } from "./routerPeers.ts";
import { createResizableSemaphore } from "./resizableSemaphore.ts";
import type { ForwardingBounds } from "./types.ts";

export interface WeightsChangeDependencies {
  readonly replicas: ReplicaTable;
  readonly configuration: ConfigurationState;
  readonly client: ReplicaClient;
  readonly peers: Pick<RouterPeers, "announceChanging" | "announceWeights">;
  readonly bounds: Pick<ForwardingBounds, "weights">;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Identifies this process uniquely among all lease holders. */
  readonly holder: string;
  /** Cancels all changes. */
  readonly signal: AbortSignal;
  /** @returns Whether orders may be sent at this moment. */
  readonly mayOrder: (tenure: Tenure) => boolean;
}

export interface WeightsChange {
  /** @returns The newest wanted weights of one of the replica's models that it does not run yet, if there are any. */
  readonly missingWeights: (replica: ReplicaState) => WeightsTarget | undefined;
  /** @returns When the last order was sent, milliseconds on the monotonic clock. */
  readonly lastOrderAt: () => number;
  /** @returns How many engines may load at the same time. */
  readonly maxSimultaneousLoads: () => number;
  /**
   * Changes a replica to the newest wanted weights. Failures are logged, not thrown.
   *
   * @param tenure - The tenure of the lease under which the order is sent.
   * @returns Resolves when the replica runs them, or when the change can't be made now.
   */
  readonly change: (tenure: Tenure, replica: ReplicaState) => Promise<void>;
}

const writeLog = createLogger("orders");

const runsTarget = ({ weights, isChanging }: EngineStatus, target: WeightsTarget): boolean =>
  !isChanging && (weights.get(target.model) ?? 0) >= target.version;

export const createWeightsChange = (dependencies: WeightsChangeDependencies): WeightsChange => {
  const { replicas, configuration, client, peers, clock, signal } = dependencies;
  const concurrency = createWeightsLoadConcurrency(dependencies.bounds);
  const countEngines = (): number => replicas.all().filter(({ weights }) => weights.size > 0).length;
  const maxSimultaneousLoads = (): number => concurrency.limit(countEngines());
  const loads = createResizableSemaphore(maxSimultaneousLoads);
  let lastOrderAt = Number.NEGATIVE_INFINITY;

  const missingWeights = ({ weights, entry }: ReplicaState): WeightsTarget | undefined => {
    if (entry.isDraining) return undefined;
    for (const [model, version] of weights) {
      const wanted = configuration.wantedWeights(model);
      if (wanted !== undefined && wanted.version > version) return { model, version: wanted.version };
    }
    return undefined;
  };

  const setChanging = (replica: ReplicaState, until: number): void => {
    replica.changingUntil = until;
    peers.announceChanging(replica.entry.id, until);
  };

  const withOrderTimeout = <T>(call: (limit: AbortSignal) => Promise<T>): Promise<T> =>
    withTimeLimit(clock, signal, orderTimeout, call);

  /** Rejects the status of another incarnation, whose weights and number of accepted orders started anew. */
  const readStatus = async ({ entry }: ReplicaState): Promise<EngineStatus> => {
    const status = await withOrderTimeout((limit) => client.readStatus(entry, limit));
    if (isDifferentIncarnation(entry, status))
      throw upstreamError("the engine has restarted", "leaving", "sent");
    return status;
  };

  /**
   * Gives running requests time to end on the weights that they started with. Not a departure (`entry.isDraining`).
   */
  const drain = async (replica: ReplicaState): Promise<void> => {
    setChanging(replica, clock.monotonic() + changingTimeout);
    const deadline = clock.monotonic() + drainTimeBeforeLoad;
    do {
      // The first pause gives peers time to receive the update.
      await pause(clock, drainPollInterval, signal);
    } while (totalRequests(replica) > 0 && clock.monotonic() < deadline && !signal.aborted);
  };

  const awaitLoad = async (replica: ReplicaState, target: WeightsTarget): Promise<boolean> => {
    const deadline = clock.monotonic() + loadTimeLimit;
    await pause(clock, firstLoadPollDelay, signal);
    while (clock.monotonic() < deadline && !signal.aborted) {
      // An engine that doesn't answer is polled again until the time limit.
      const status = await readStatus(replica).catch(() => undefined);
      if (status !== undefined && runsTarget(status, target)) return true;
      if (replicas.get(replica.entry.id) === undefined) return false;
      if (replica.changingUntil < clock.monotonic() + changingTimeout / 2) {
        setChanging(replica, clock.monotonic() + changingTimeout);
      }
      await pause(clock, loadPollInterval, signal);
    }
    return false;
  };

  const noteDone = ({ entry }: ReplicaState, { model, version }: WeightsTarget): void => {
    replicas.noteWeights(entry.id, model, version);
    peers.announceWeights(entry.id, model, version);
  };

  const sendOrder = async (
    tenure: Tenure,
    replica: ReplicaState,
    target: WeightsTarget,
    acceptedOrders: number,
  ): Promise<boolean> => {
    const { entry } = replica;
    const order = {
      replica: entry,
      target,
      running: "keep",
      holder: dependencies.holder,
      // A fencing number is made from a store epoch and a log offset. Both start at 0, and it is not specified whether
      // engines accept the number 0.
      fencingNumber: tenure.fencingNumber + 1,
      acceptedOrders,
    } as const;
    lastOrderAt = clock.monotonic();
    const outcome = await withOrderTimeout((limit) => client.order(order, limit));
    dependencies.metrics.count(metricNames.orders, 1, { outcome });
    const { model, version } = target;
    writeLog("ordered", { replica: entry.id, model, version, fence: order.fencingNumber, outcome });
    return outcome === "accepted" || outcome === "already";
  };

  const load = async (tenure: Tenure, replica: ReplicaState): Promise<void> => {
    const status = await readStatus(replica);
    const target = missingWeights(replica);
    if (target === undefined) return;
    if (runsTarget(status, target)) {
      noteDone(replica, target);
      return;
    }
    const simultaneous = loads.acquiredCount();
    // Checked last, since this process may have been paused until now.
    if (!dependencies.mayOrder(tenure)) return;
    const orderedAt = clock.monotonic();
    const isAccepted = await sendOrder(tenure, replica, target, status.acceptedOrders);
    if ((isAccepted || status.isChanging) && (await awaitLoad(replica, target))) {
      noteDone(replica, target);
      concurrency.noteLoad(clock.monotonic() - orderedAt, Math.max(1, simultaneous, loads.acquiredCount()));
    } else await pause(clock, changeRetryDelay, signal);
  };

  return {
    missingWeights,
    maxSimultaneousLoads,
    lastOrderAt: () => lastOrderAt,
    change: async (tenure, replica) => {
      try {
        await drain(replica);
        await using permit = await loads.acquire(signal);
        if (permit.isAcquired) await load(tenure, replica);
      } catch (error) {
        writeLog("change_failed", { replica: replica.entry.id, reason: String(error) });
        await pause(clock, changeRetryDelay, signal);
      } finally {
        setChanging(replica, clock.monotonic());
      }
    },
  };
};
