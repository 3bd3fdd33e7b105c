/**
 * The replicas that this router knows, with the state of each: its registration, its weights, and the work that this
 * router and its peers have there.
 */
import type { ReplicaKey } from "../../protocol/forwarding/peerMessage.ts";
import { replicaKeyOf } from "../../protocol/forwarding/peerMessage.ts";
import { createBoundedMap } from "../boundedMap.ts";
import type { ReplicaEntry } from "../../protocol/forwarding/types.ts";
import type { StorePosition } from "../../protocol/StorePosition.ts";
import { createDroppedEntryLog } from "./droppedEntries.ts";
import { createPeerWork } from "./peerWork.ts";
import type { DrainingReport, ReplicaBackoff, ReplicaState, ReplicaWork } from "./replicaState.ts";
import { createReplicaState } from "./replicaState.ts";

/** Removed incarnations whose state is kept; more than are replaced while a registry is unavailable. */
const maxRememberedIncarnations = 4_096;

/** Why a replica no longer gets new work: it drains, left the registry, or was replaced by a new incarnation. */
export type Departure = "draining" | "gone" | "restarted";

/** The replicas of the registry, indexed by id, key, name and service. */
export interface ReplicaTable {
  readonly get: (id: string) => ReplicaState | undefined;
  readonly getByKey: (key: ReplicaKey) => ReplicaState | undefined;
  readonly all: () => readonly ReplicaState[];
  /** @returns The replicas of a service that take new work. */
  readonly serving: (service: string) => readonly ReplicaState[];
  /** @returns The replicas of a service that drain. */
  readonly draining: (service: string) => readonly ReplicaState[];
  /**
   * Applies a registration.
   *
   * @returns Whether it changes which replicas get work. New weights do not count: the router that orders them notifies
   * all others, and a replica with other weights refuses the request. If they counted, every router would read the
   * registry each time one engine loads weights.
   * @param position - The position of the registration, for the log.
   */
  readonly put: (entry: ReplicaEntry, position?: StorePosition) => boolean;
  /**
   * Marks an incarnation as draining: it gets no new work, whatever the registry says of it now or later.
   *
   * @returns Whether this was not known before.
   */
  readonly markDraining: (id: string, report: DrainingReport) => boolean;
  /** Removes a replica that left the registry. @param name - Its registered name. @returns Whether it was known. */
  readonly remove: (name: string) => boolean;
  /** Replaces all entries by the current ones of the registry. @returns Whether it changes which replicas get work. */
  readonly replaceAll: (entries: readonly ReplicaEntry[]) => boolean;
  /**
   * Merges the entries of an older copy of the registry. Incarnations that were removed before stay removed. Replicas
   * that the copy lacks stay until they are removed, since they may be registered again.
   *
   * @returns The names that the copy lacks.
   */
  readonly merge: (entries: readonly ReplicaEntry[]) => readonly string[];
  /** Raises the known weights version of a replica. */
  readonly noteWeights: (id: string, model: string, version: number) => void;
  /** Replaces all the work that a peer reported, by replica. */
  readonly noteWork: (peer: string, work: ReadonlyMap<ReplicaKey, ReplicaWork>) => void;
  /** Replaces the work that a router reported at one replica; work without requests removes it. */
  readonly noteWorkAt: (reporter: string, key: ReplicaKey, work: ReplicaWork) => void;
  /** Replaces all reported work at one replica by one router's report of the work of all other routers. */
  readonly replaceWorkAt: (reporter: string, key: ReplicaKey, work: ReplicaWork) => void;
  readonly subscribe: (listener: (entry: ReplicaEntry, departure: Departure | undefined) => void) => void;
}

/** Versions only increase within one incarnation, so a late update with an older version has no effect. */
const raiseVersion = (weights: Map<string, number>, model: string, version: number): void => {
  if (version > (weights.get(model) ?? 0)) weights.set(model, version);
};

export const createReplicaTable = (): ReplicaTable => {
  const states = new Map<string, ReplicaState>();
  const byKey = new Map<ReplicaKey, ReplicaState>();
  const byName = new Map<string, ReplicaState>();
  const peerWork = createPeerWork((key) => byKey.get(key));
  const byService = new Map<string, ReplicaState[]>();
  const drainingByService = new Map<string, ReplicaState[]>();
  /** Ids of incarnations that drain or drained: the registry may remove one temporarily and list it as ready again. */
  const draining = createBoundedMap<DrainingReport>(maxRememberedIncarnations);
  /** Ids of incarnations that were removed from the table. */
  const departed = createBoundedMap<true>(maxRememberedIncarnations);
  /** By id: the backoff of an incarnation that was removed, kept because the registry may list it again. */
  const backoffs = createBoundedMap<ReplicaBackoff>(maxRememberedIncarnations);
  const logDropped = createDroppedEntryLog();
  const listeners: ((entry: ReplicaEntry, departure: Departure | undefined) => void)[] = [];

  const reindex = (): void => {
    byService.clear();
    drainingByService.clear();
    for (const state of states.values()) {
      const { service, isDraining } = state.entry;
      const index = isDraining ? drainingByService : byService;
      const ofService = index.get(service);
      if (ofService === undefined) index.set(service, [state]);
      else ofService.push(state);
    }
  };

  const notify = (entry: ReplicaEntry, departure: Departure | undefined): void => {
    for (const listener of listeners) listener(entry, departure);
  };

  const removeState = ({ entry, backoff }: ReplicaState, departure: Departure): void => {
    if (backoff !== undefined) backoffs.set(entry.id, backoff);
    departed.set(entry.id, true);
    states.delete(entry.id);
    byKey.delete(replicaKeyOf(entry.id));
    byName.delete(entry.registeredAs);
    reindex();
    notify(entry, departure);
  };

  /** Removes an earlier incarnation of an entry. @returns False if a later incarnation is known. */
  const replaceEarlierIncarnation = (entry: ReplicaEntry, position?: StorePosition): boolean => {
    const before = byName.get(entry.registeredAs);
    if (before === undefined || before.entry.id === entry.id) return true;
    if ((entry.bornAt ?? 0) < (before.entry.bornAt ?? 0)) {
      logDropped(entry, "earlier_start", position);
      return false;
    }
    removeState(before, "restarted");
    // Its process has ended: requests that may be retried elsewhere need not wait for the connection to break.
    for (const abandon of [...before.abandon]) abandon();
    return true;
  };

  const put = (entry: ReplicaEntry, position?: StorePosition): boolean => {
    if (!replaceEarlierIncarnation(entry, position)) return false;
    if (entry.isDraining && !draining.has(entry.id))
      draining.set(entry.id, { source: "registry", detail: position?.toString() ?? "" });
    const report = draining.get(entry.id);
    const isDraining = report !== undefined;
    const known = states.get(entry.id);
    if (known === undefined) {
      const state = createReplicaState({ ...entry, isDraining });
      state.draining = report;
      state.backoff = backoffs.get(entry.id);
      states.set(entry.id, state);
      byKey.set(replicaKeyOf(entry.id), state);
      byName.set(entry.registeredAs, state);
      reindex();
      notify(state.entry, isDraining ? "draining" : undefined);
      return true;
    }
    const { isDraining: wasDraining } = known.entry;
    known.entry = { ...entry, isDraining };
    known.draining = report;
    for (const [model, version] of entry.weights) raiseVersion(known.weights, model, version);
    if (isDraining === wasDraining) return false;
    reindex();
    notify(known.entry, "draining");
    return true;
  };

  const remove = (name: string): boolean => {
    const known = byName.get(name);
    if (known === undefined) return false;
    removeState(known, "gone");
    return true;
  };

  /** @returns The known names that a list of entries lacks. */
  const missingIn = (entries: readonly ReplicaEntry[]): readonly string[] => {
    const kept = new Set(entries.map(({ registeredAs }) => registeredAs));
    return [...byName.keys()].filter((name) => !kept.has(name));
  };

  return {
    get: (id) => states.get(id),
    getByKey: (key) => byKey.get(key),
    noteWork: peerWork.note,
    noteWorkAt: peerWork.noteAt,
    replaceWorkAt: peerWork.replaceAt,
    all: () => [...states.values()],
    serving: (service) => byService.get(service) ?? [],
    draining: (service) => drainingByService.get(service) ?? [],
    put,
    markDraining: (id, report) => {
      if (draining.has(id)) return false;
      draining.set(id, report);
      const known = states.get(id);
      return known === undefined || put(known.entry);
    },
    remove,
    replaceAll: (entries) => {
      const gone = missingIn(entries);
      gone.forEach(remove);
      const changes = entries.filter((entry) => put(entry));
      return gone.length + changes.length > 0;
    },
    merge: (entries) => {
      const missing = missingIn(entries);
      for (const entry of entries) {
        if (departed.has(entry.id)) logDropped(entry, "departed");
        else put(entry);
      }
      return missing;
    },
    noteWeights: (id, model, version) => {
      const state = states.get(id);
      if (state !== undefined) raiseVersion(state.weights, model, version);
    },
    subscribe: (listener) => {
      listeners.push(listener);
    },
  };
};
