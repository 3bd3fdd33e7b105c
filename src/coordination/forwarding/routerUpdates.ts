/** Updates that routers announce to one another besides their own work: those to be sent, and those received. */
import type {
  ReplicaKey,
  RouterMessage,
  AnnouncedHolder,
  AnnouncedWeights,
} from "../../protocol/forwarding/peerMessage.ts";
import { replicaKeyOf } from "../../protocol/forwarding/peerMessage.ts";
import type { ReportedLimit } from "../../state/forwarding/reportedLimit.ts";
import { noteAnnouncedLimit, toReportedLimitMessage } from "../../state/forwarding/reportedLimit.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { Clock } from "../clock.ts";
import type { ConfigurationState } from "./configurationState.ts";
import { maxHolderUpdatesPerMessage, maxLeavingPerMessage, updateRepetitionTime } from "./constants.ts";
import type { HolderDependencies } from "./applyAnnouncedHolders.ts";
import { applyAnnouncedHolders } from "./applyAnnouncedHolders.ts";
import { createUpdates } from "./updates.ts";

/** Peers in the same data centre (near) and in others (far); messages to them are sent at different intervals. */
export type Audience = "near" | "far";

/** The fields of a message that carry updates. */
export type UpdateFields = Pick<
  RouterMessage,
  "weights" | "changingReplicas" | "leaving" | "holders" | "reportedLimits"
>;

/** Updates waiting to be sent. */
export interface RouterUpdates {
  /** Adds that a replica runs a version of a model's weights. */
  readonly addWeights: (replica: string, model: string, version: number) => void;
  /** Adds that a replica is to get no new work until a time on the monotonic clock, while its weights change. */
  readonly addChanging: (replica: string, until: number) => void;
  /** Adds that a replica leaves. */
  readonly addLeaving: (replica: string) => void;
  /** Adds a rate limit that a replica has reported. */
  readonly addLimit: (replica: string, limit: ReportedLimit) => void;
  /**
   * Adds that a replica computes or caches a prompt part. It is announced at each use and not repeated: a cached copy
   * that is missed because a message was lost costs little.
   */
  readonly addHolder: (key: number, replica: string, isReady: boolean) => void;
  /** Whether there are updates about prompt parts that have not been sent to an audience yet. */
  readonly hasHolders: (audience: Audience) => boolean;
  /** @returns The updates for the next message to an audience; those about prompt parts are then removed. */
  readonly take: (audience: Audience) => UpdateFields;
}

/** Creates an empty set of updates. */
export const createRouterUpdates = (clock: Clock): RouterUpdates => {
  const weights = createUpdates<AnnouncedWeights>(clock, updateRepetitionTime);
  const changingReplicas = createUpdates<number>(clock, updateRepetitionTime);
  const leaving = createUpdates<true>(clock, updateRepetitionTime);
  const reportedLimits = createUpdates<ReportedLimit>(clock, updateRepetitionTime);
  const holders: Record<Audience, Map<string, AnnouncedHolder>> = { near: new Map(), far: new Map() };

  return {
    addWeights: (replica, model, version) =>
      weights.add(`${replica} ${model}`, { replica: replicaKeyOf(replica), model, version }),
    addChanging: changingReplicas.add,
    addLeaving: (replica) => leaving.add(replica, true),
    addLimit: reportedLimits.add,
    addHolder: (key, replica, isReady) => {
      const announced = { part: key, replica: replicaKeyOf(replica), isReady };
      for (const pending of Object.values(holders)) pending.set(`${key} ${replica}`, announced);
    },
    hasHolders: (audience) => holders[audience].size > 0,
    take: (audience) => {
      const now = clock.monotonic();
      const announced = [...holders[audience].values()].slice(-maxHolderUpdatesPerMessage);
      holders[audience].clear();
      return {
        weights: weights.entries().map(([, update]) => update),
        changingReplicas: changingReplicas.entries().map(([id, until]) => ({
          replica: replicaKeyOf(id),
          remaining: Math.max(0, Math.round(until - now)),
        })),
        leaving: leaving
          .entries()
          .slice(-maxLeavingPerMessage)
          .map(([id]) => replicaKeyOf(id)),
        holders: announced,
        reportedLimits: reportedLimits.entries().map(([id, reportedLimit]) => ({
          replica: replicaKeyOf(id),
          reportedLimit: toReportedLimitMessage(reportedLimit, now),
        })),
      };
    },
  };
};

export interface UpdateDependencies extends HolderDependencies {
  readonly replicas: ReplicaTable;
  readonly configuration: Pick<ConfigurationState, "noteWantedAge" | "wantedWeights">;
  /** Called when a peer knows of newer wanted weights. */
  readonly onNewerConfiguration: () => void;
  readonly clock: Clock;
}

/**
 * Applies the updates in a peer's message. Those about replicas that are not listed are ignored, except for draining:
 * the registry may list such a replica later, while answers and status reads correct the other updates.
 */
export const applyUpdates = (message: RouterMessage, dependencies: UpdateDependencies): void => {
  const { replicas, configuration, clock, onNewerConfiguration } = dependencies;
  const now = clock.monotonic();
  const idOf = (key: ReplicaKey): string | undefined => replicas.getByKey(key)?.entry.id;
  for (const { replica, model, version } of message.weights) {
    const id = idOf(replica);
    if (id !== undefined) replicas.noteWeights(id, model, version);
  }
  for (const { replica: key, remaining } of message.changingReplicas) {
    const replica = replicas.getByKey(key);
    if (replica !== undefined) replica.changingUntil = now + remaining;
  }
  applyAnnouncedHolders(message.holders, dependencies);
  for (const { model, version, age } of message.weightsTargets) {
    if (version > (configuration.wantedWeights(model)?.version ?? 0)) onNewerConfiguration();
    configuration.noteWantedAge(model, version, age);
  }
  for (const { replica: key, reportedLimit } of message.reportedLimits) {
    const replica = replicas.getByKey(key);
    if (replica !== undefined) noteAnnouncedLimit(replica, reportedLimit, now);
  }
  for (const key of message.leaving) replicas.markKeyDraining(key, { source: "peer", detail: message.name });
};
