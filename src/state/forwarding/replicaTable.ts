/**
 * The replicas that this router knows, and what it believes of each: its registration, its weights, and the
 * work that this router and its peers have there.
 */
import type { ReplicaKey } from "../../protocol/forwarding/peerMessage.ts";
import { replicaKeyOf } from "../../protocol/forwarding/peerMessage.ts";
import { createBoundedMap } from "../boundedMap.ts";
import type { ReplicaEntry } from "../../protocol/forwarding/types.ts";
import { createPeerWork } from "./peerWork.ts";
import type { ReplicaBackoff, ReplicaState, ReplicaWork } from "./replicaState.ts";
import { createReplicaState } from "./replicaState.ts";

/** Incarnations of which something is remembered: more than are replaced while a registry is unavailable. */
const mostDepartedRemembered = 4_096;

/** How a replica left the table. */
export type Departure = "draining" | "gone" | "restarted";

/** See {@link createReplicaTable}. */
export interface ReplicaTable {
  readonly get: (id: string) => ReplicaState | undefined;
  readonly getByKey: (key: ReplicaKey) => ReplicaState | undefined;
  readonly all: () => readonly ReplicaState[];
  /** @returns The replicas of a service that take new work. */
  readonly serving: (service: string) => readonly ReplicaState[];
  /** @returns Those that drain. */
  readonly draining: (service: string) => readonly ReplicaState[];
  /**
   * Takes a registration.
   *
   * @returns Whether it changes who gets work. New weights don't: whoever orders them tells all routers, and a replica
   * that has others refuses. As long as they counted, every router read the registry for each load of one engine.
   */
  readonly put: (entry: ReplicaEntry) => boolean;
  /**
   * An incarnation drains: it gets no new work, whatever the registry says of it now or later.
   *
   * @returns Whether it was not known to drain.
   */
  readonly markDraining: (id: string) => boolean;
  /** The registry names a replica no more. @param name - What it was registered under. @returns Whether it was known. */
  readonly remove: (name: string) => boolean;
  /** Replaces everything by what the registry holds now. @returns Whether it changes a decision. */
  readonly replaceAll: (entries: readonly ReplicaEntry[]) => boolean;
  /**
   * Takes what an older copy of the registry holds. Incarnations that were gone before stay so; those that it lacks stay
   * until they are removed, since they may be registered again.
   *
   * @returns The names that it lacks.
   */
  readonly merge: (entries: readonly ReplicaEntry[]) => readonly string[];
  /** Raises the version that a replica is believed to run. */
  readonly noteWeights: (id: string, model: string, version: number) => void;
  /** Takes all the work that a peer has now, by replica; what it told before counts no more. */
  readonly noteWork: (peer: string, work: ReadonlyMap<ReplicaKey, ReplicaWork>) => void;
  /** Takes the work that a teller has at one replica; none lets go of what it told before. */
  readonly noteWorkAt: (teller: string, key: ReplicaKey, work: ReplicaWork) => void;
  /** Takes the work of all other routers at one replica, whoever told of it before. */
  readonly replaceWorkAt: (teller: string, key: ReplicaKey, work: ReplicaWork) => void;
  readonly subscribe: (listener: (entry: ReplicaEntry, departure: Departure | undefined) => void) => void;
}

/** Versions only rise within one incarnation, so late news of an older one changes nothing. */
const raise = (weights: Map<string, number>, model: string, version: number): void => {
  if (version > (weights.get(model) ?? 0)) weights.set(model, version);
};

/** Creates an empty table. */
export const createReplicaTable = (): ReplicaTable => {
  const states = new Map<string, ReplicaState>();
  const byKey = new Map<ReplicaKey, ReplicaState>();
  const byName = new Map<string, ReplicaState>();
  const peerWork = createPeerWork((key) => byKey.get(key));
  const byService = new Map<string, ReplicaState[]>();
  const drainingByService = new Map<string, ReplicaState[]>();
  /** Ids of incarnations that drain or drained: the registry may drop one for a while and list it as ready again. */
  const draining = createBoundedMap<true>(mostDepartedRemembered);
  /** Ids of incarnations that the registry dropped. */
  const departed = createBoundedMap<true>(mostDepartedRemembered);
  /** By id of an incarnation that the registry dropped, for the same reason. */
  const backoffs = createBoundedMap<ReplicaBackoff>(mostDepartedRemembered);
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

  const tell = (entry: ReplicaEntry, departure: Departure | undefined): void => {
    for (const listener of listeners) listener(entry, departure);
  };

  const drop = ({ entry, backoff }: ReplicaState, departure: Departure): void => {
    if (backoff !== undefined) backoffs.set(entry.id, backoff);
    departed.set(entry.id, true);
    states.delete(entry.id);
    byKey.delete(replicaKeyOf(entry.id));
    byName.delete(entry.registeredAs);
    reindex();
    tell(entry, departure);
  };

  /** @returns False for an entry of an incarnation before the one that is known. */
  const makeWay = (entry: ReplicaEntry): boolean => {
    const before = byName.get(entry.registeredAs);
    if (before === undefined || before.entry.id === entry.id) return true;
    if ((entry.bornAt ?? 0) < (before.entry.bornAt ?? 0)) return false;
    drop(before, "restarted");
    // Its process is gone: what may run again elsewhere need not wait for the connection to break.
    for (const abandon of [...before.abandon]) abandon();
    return true;
  };

  const put = (entry: ReplicaEntry): boolean => {
    if (!makeWay(entry)) return false;
    if (entry.isDraining) draining.set(entry.id, true);
    const isDraining = draining.has(entry.id);
    const known = states.get(entry.id);
    if (known === undefined) {
      const state = createReplicaState({ ...entry, isDraining });
      state.backoff = backoffs.get(entry.id);
      states.set(entry.id, state);
      byKey.set(replicaKeyOf(entry.id), state);
      byName.set(entry.registeredAs, state);
      reindex();
      tell(state.entry, isDraining ? "draining" : undefined);
      return true;
    }
    const { isDraining: wasDraining } = known.entry;
    known.entry = { ...entry, isDraining };
    for (const [model, version] of entry.weights) raise(known.weights, model, version);
    if (isDraining === wasDraining) return false;
    reindex();
    tell(known.entry, "draining");
    return true;
  };

  const remove = (name: string): boolean => {
    const known = byName.get(name);
    if (known === undefined) return false;
    drop(known, "gone");
    return true;
  };

  /** Names that a list of entries lacks. */
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
    markDraining: (id) => {
      if (draining.has(id)) return false;
      draining.set(id, true);
      const known = states.get(id);
      return known === undefined || put(known.entry);
    },
    remove,
    replaceAll: (entries) => {
      const gone = missingIn(entries);
      gone.forEach(remove);
      const changes = entries.filter(put);
      return gone.length + changes.length > 0;
    },
    merge: (entries) => {
      const missing = missingIn(entries);
      entries.filter(({ id }) => !departed.has(id)).forEach(put);
      return missing;
    },
    noteWeights: (id, model, version) => {
      const state = states.get(id);
      if (state !== undefined) raise(state.weights, model, version);
    },
    subscribe: (listener) => {
      listeners.push(listener);
    },
  };
};
