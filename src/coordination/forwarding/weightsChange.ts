/** Brings one engine to the weights wanted: empties it for a moment, gives the order, and sees it done. */
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
  changingTime,
  changeRetryPause,
  drainBeforeLoad,
  drainPollInterval,
  firstLoadPoll,
  loadPollInterval,
  longestLoad,
  orderTimeout,
} from "./constants.ts";
import { createLoadPace } from "./weightsLoadConcurrency.ts";
import type { RouterPeers } from "./routerPeers.ts";
import { createSlots } from "./resizableSemaphore.ts";
import type { ForwardingBounds } from "./types.ts";

/** What changes work with. */
export interface WeightsChangeParts {
  readonly replicas: ReplicaTable;
  readonly configuration: ConfigurationState;
  readonly client: ReplicaClient;
  readonly peers: Pick<RouterPeers, "tellChanging" | "tellWeights">;
  readonly bounds: Pick<ForwardingBounds, "weights">;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Tells this process from every other. */
  readonly holder: string;
  /** Ends all changes. */
  readonly signal: AbortSignal;
  /** Whether orders may be given at this moment. */
  readonly mayOrder: (tenure: Tenure) => boolean;
}

/** See {@link createWeightsChange}. */
export interface WeightsChange {
  /** @returns The newest weights of a model of the replica's that it does not run. */
  readonly missing: (replica: ReplicaState) => WeightsTarget | undefined;
  /** When the last order was sent, milliseconds on the monotonic clock. */
  readonly lastOrderAt: () => number;
  /** How many engines may load at once. */
  readonly mostLoads: () => number;
  /** Resolves when the replica runs them, or can't be brought to them now. */
  readonly change: (tenure: Tenure, replica: ReplicaState) => Promise<void>;
}

const writeLog = createLogger("orders");

const runsTarget = ({ weights, isChanging }: EngineStatus, target: WeightsTarget): boolean =>
  !isChanging && (weights.get(target.model) ?? 0) >= target.version;

/** Creates what changes the engines of a table. */
export const createWeightsChange = (parts: WeightsChangeParts): WeightsChange => {
  const { replicas, configuration, client, peers, clock, signal } = parts;
  const pace = createLoadPace(parts.bounds);
  const countEngines = (): number => replicas.all().filter(({ weights }) => weights.size > 0).length;
  const mostLoads = (): number => pace.limit(countEngines());
  const loads = createSlots(mostLoads);
  let lastOrderAt = Number.NEGATIVE_INFINITY;

  const missing = ({ weights, entry }: ReplicaState): WeightsTarget | undefined => {
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

  const limited = <T>(call: (limit: AbortSignal) => Promise<T>): Promise<T> =>
    withTimeLimit(clock, signal, orderTimeout, call);

  /** What one incarnation says counts for no other: its weights and its number of orders began anew. */
  const readStatus = async ({ entry }: ReplicaState): Promise<EngineStatus> => {
    const status = await limited((limit) => client.readStatus(entry, limit));
    if (isDifferentIncarnation(entry, status))
      throw upstreamError("the engine started again", "leaving", "sent");
    return status;
  };

  /** Work that ends in time is not cut off from its weights. */
  const drain = async (replica: ReplicaState): Promise<void> => {
    setChanging(replica, clock.monotonic() + changingTime);
    const end = clock.monotonic() + drainBeforeLoad;
    do {
      // Peers need the first pause to hear of it.
      await pause(clock, drainPollInterval, signal);
    } while (totalRequests(replica) > 0 && clock.monotonic() < end && !signal.aborted);
  };

  const awaitLoad = async (replica: ReplicaState, target: WeightsTarget): Promise<boolean> => {
    const end = clock.monotonic() + longestLoad;
    await pause(clock, firstLoadPoll, signal);
    while (clock.monotonic() < end && !signal.aborted) {
      // An engine that doesn't answer is asked again until the time is over.
      const status = await readStatus(replica).catch(() => undefined);
      if (status !== undefined && runsTarget(status, target)) return true;
      if (replicas.get(replica.entry.id) === undefined) return false;
      if (replica.changingUntil < clock.monotonic() + changingTime / 2) {
        setChanging(replica, clock.monotonic() + changingTime);
      }
      await pause(clock, loadPollInterval, signal);
    }
    return false;
  };

  const noteDone = ({ entry }: ReplicaState, { model, version }: WeightsTarget): void => {
    replicas.noteWeights(entry.id, model, version);
    peers.announceWeights(entry.id, model, version);
  };

  const giveOrder = async (
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
      holder: parts.holder,
      // Offsets begin at 0, and an order without a number is refused.
      fencingNumber: tenure.fencingNumber + 1,
      acceptedOrders,
    } as const;
    lastOrderAt = clock.monotonic();
    const outcome = await limited((limit) => client.order(order, limit));
    parts.metrics.count(metricNames.orders, 1, { outcome });
    const { model, version } = target;
    writeLog("ordered", { replica: entry.id, model, version, fence: order.fencingNumber, outcome });
    return outcome === "accepted" || outcome === "already";
  };

  const load = async (tenure: Tenure, replica: ReplicaState): Promise<void> => {
    const status = await readStatus(replica);
    const target = missing(replica);
    if (target === undefined) return;
    if (runsTarget(status, target)) {
      noteDone(replica, target);
      return;
    }
    const simultaneous = loads.taken();
    // Asked last: this process may have been paused until now.
    if (!parts.mayOrder(tenure)) return;
    const orderedAt = clock.monotonic();
    const isUnderWay = await giveOrder(tenure, replica, target, status.acceptedOrders);
    if ((isUnderWay || status.isChanging) && (await awaitLoad(replica, target))) {
      noteDone(replica, target);
      pace.note(clock.monotonic() - orderedAt, Math.max(1, simultaneous, loads.taken()));
    } else await pause(clock, changeRetryPause, signal);
  };

  return {
    missing,
    mostLoads,
    lastOrderAt: () => lastOrderAt,
    change: async (tenure, replica) => {
      try {
        await drain(replica);
        await using slot = await loads.take(signal);
        if (slot.isTaken) await load(tenure, replica);
      } catch (error) {
        writeLog("change_failed", { replica: replica.entry.id, reason: String(error) });
        await pause(clock, changeRetryPause, signal);
      } finally {
        setChanging(replica, clock.monotonic());
      }
    },
  };
};
