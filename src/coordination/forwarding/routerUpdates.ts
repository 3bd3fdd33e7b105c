/** What routers tell one another besides their own work: what this one has to tell, and what others told. */
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
import { maxHolderUpdatesPerMessage, updateRepetitionTime } from "./constants.ts";
import type { HolderDependencies } from "./applyAnnouncedHolders.ts";
import { applyAnnouncedHolders } from "./applyAnnouncedHolders.ts";
import { createUpdates } from "./updates.ts";

/** Peers in the same data centre, and those in others, which are told at other times. */
export type Audience = "near" | "far";

/** The fields of a message that carry news. */
export type UpdateFields = Pick<RouterMessage, "weights" | "changing" | "leaving" | "holders" | "limited">;

/** See {@link createRouterUpdates}. */
export interface RouterUpdates {
  /** A replica runs new weights. */
  readonly addWeights: (replica: string, model: string, version: number) => void;
  /** A replica is to get no new work until a moment on the monotonic clock. */
  readonly addChanging: (replica: string, until: number) => void;
  readonly addLeaving: (replica: string) => void;
  /** A replica names a limit. */
  readonly addLimit: (replica: string, reportedLimit: ReportedLimit) => void;
  /**
   * A replica computes or keeps a prompt part. Told at each use and not repeated: a copy that is not found for want
   * of it costs little.
   */
  readonly addHolder: (key: number, replica: string, isReady: boolean) => void;
  /** Whether there is news of prompt parts that has not been taken for an audience. */
  readonly hasHolders: (audience: Audience) => boolean;
  /** @returns What goes into the next message to an audience. */
  readonly take: (audience: Audience) => UpdateFields;
}

/** Creates news of nothing. */
export const createRouterUpdates = (clock: Clock): RouterUpdates => {
  const weights = createUpdates<AnnouncedWeights>(clock, updateRepetitionTime);
  const changing = createUpdates<number>(clock, updateRepetitionTime);
  const leaving = createUpdates<true>(clock, updateRepetitionTime);
  const limited = createUpdates<ReportedLimit>(clock, updateRepetitionTime);
  const holders: Record<Audience, Map<string, AnnouncedHolder>> = { near: new Map(), far: new Map() };

  return {
    addWeights: (replica, model, version) =>
      weights.add(`${replica} ${model}`, { replica: replicaKeyOf(replica), model, version }),
    addChanging: changing.add,
    addLeaving: (replica) => leaving.add(replica, true),
    addLimit: limited.add,
    addHolder: (key, replica, isReady) => {
      const told = { part: key, replica: replicaKeyOf(replica), isReady };
      for (const pending of Object.values(holders)) pending.set(`${key} ${replica}`, told);
    },
    hasHolders: (audience) => holders[audience].size > 0,
    take: (audience) => {
      const now = clock.monotonic();
      const told = [...holders[audience].values()].slice(-maxHolderUpdatesPerMessage);
      holders[audience].clear();
      return {
        weights: weights.entries().map(([, news]) => news),
        changing: changing.entries().map(([id, until]) => ({
          replica: replicaKeyOf(id),
          remaining: Math.max(0, Math.round(until - now)),
        })),
        leaving: leaving.entries().map(([id]) => replicaKeyOf(id)),
        holders: told,
        limited: limited.entries().map(([id, reportedLimit]) => ({
          replica: replicaKeyOf(id),
          reportedLimit: toReportedLimitMessage(reportedLimit, now),
        })),
      };
    },
  };
};

/** What news of peers changes. */
export interface UpdateDependencies extends HolderDependencies {
  readonly replicas: ReplicaTable;
  readonly configuration: Pick<ConfigurationState, "noteWantedAge" | "wantedWeights">;
  /** A peer knows newer weights wanted. */
  readonly onNewerConfiguration: () => void;
  readonly clock: Clock;
}

/** Takes what a peer's message tells; replicas that this router doesn't know yet are left out. */
export const applyUpdates = (message: RouterMessage, takers: UpdateDependencies): void => {
  const { replicas, configuration, clock, onNewerConfiguration } = takers;
  const now = clock.monotonic();
  const idOf = (key: ReplicaKey): string | undefined => replicas.getByKey(key)?.entry.id;
  for (const { replica, model, version } of message.weights) {
    const id = idOf(replica);
    if (id !== undefined) replicas.noteWeights(id, model, version);
  }
  for (const { replica: key, remaining } of message.changing) {
    const replica = replicas.getByKey(key);
    if (replica !== undefined) replica.changingUntil = now + remaining;
  }
  applyAnnouncedHolders(message.holders, takers);
  for (const { model, version, age } of message.weightsTargets) {
    if (version > (configuration.wantedWeights(model)?.version ?? 0)) onNewerConfiguration();
    configuration.noteWantedAge(model, version, age);
  }
  for (const { replica: key, reportedLimit: reportedLimit } of message.limited) {
    const replica = replicas.getByKey(key);
    if (replica !== undefined) noteAnnouncedLimit(replica, reportedLimit, now);
  }
  for (const key of message.leaving) {
    const id = idOf(key);
    if (id !== undefined) replicas.markDraining(id);
  }
};
