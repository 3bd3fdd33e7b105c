/**
 * The replicas that this router knows, with the state of each: its registration, its weights, and the work that this
 * router and its peers have there.
 */
import type { ReplicaKey } from "../../protocol/forwarding/peerMessage.ts";
import { replicaKeyOf } from "../../protocol/forwarding/peerMessage.ts";
import { createBoundedMap } from "../boundedMap.ts";
import type { ReplicaEntry } from "../../protocol/forwarding/types.ts";
import { createPeerWork } from "./peerWork.ts";
import type { DrainingReport, ReplicaBackoff, ReplicaState, ReplicaWork } from "./replicaState.ts";
import { createReplicaState } from "./replicaState.ts";
import { raiseWeights, setReportedWeights } from "./replicaWeights.ts";
import { guardCallback } from "../backgroundTasks.ts";

/** Removed incarnations whose state is kept; more than are replaced while a registry is unavailable. */
const maxRememberedIncarnations = 4_096;

const unknownTime = Number.NEGATIVE_INFINITY;

/** Why a replica no longer gets new work: it drains, left the registry, or was replaced by a new incarnation. */
export type Departure = "draining" | "gone" | "restarted";

/** The replicas of the registry, indexed by id, key, name and service. */
export interface ReplicaTable {
  readonly get: (id: string) => ReplicaState | undefined;
  readonly getByKey: (key: ReplicaKey) => ReplicaState | undefined;
  /** @param name - The name under which it is registered. */
  readonly getByName: (name: string) => ReplicaState | undefined;
  readonly all: () => readonly ReplicaState[];
  /** @returns The replicas of a service that take new work. */
  readonly serving: (service: string) => readonly ReplicaState[];
  /** @returns The replicas of a service that drain. */
  readonly draining: (service: string) => readonly ReplicaState[];
  /**
   * Applies a registration. Another incarnation of the same name is removed as restarted.
   *
   * @returns Whether it changes which replicas get work. New weights do not count: the router that orders them notifies
   * all others, and a replica with other weights refuses the request. If they counted, every router would read the
   * registry each time one engine loads weights.
   */
  readonly put: (entry: ReplicaEntry) => boolean;
  /**
   * Marks an incarnation as draining: it gets no new work, whatever the registry says of it now or later, also if it is
   * not listed at the moment.
   *
   * @returns Whether this was not known before.
   */
  readonly markDraining: (id: string, report: DrainingReport) => boolean;
  /** Does the same for an incarnation of which only the key is known. */
  readonly markKeyDraining: (key: ReplicaKey, report: DrainingReport) => boolean;
  /** Removes a replica that left the registry. @param name - Its registered name. @returns Whether it was known. */
  readonly remove: (name: string) => boolean;
  /** @returns Why an incarnation was removed; `undefined` if it is listed, or never was. */
  readonly departureOf: (id: string) => Departure | undefined;
  /**
   * Raises the known weights version of a replica.
   *
   * @param at - The replica ran the version at this time or later, milliseconds on the monotonic clock; left out if
   * unknown: a refusal of that version then counts more.
   */
  readonly noteWeights: (id: string, model: string, version: number, at?: number) => void;
  /** Notes the weights in a replica's status. @param at - The oldest time that the status may describe. */
  readonly noteReportedWeights: (id: string, weights: ReadonlyMap<string, number>, at: number) => void;
  /** Notes that a replica refused to run a request because it has other weights. @param at - When the refusal arrived. */
  readonly denyWeights: (id: string, model: string, version: number, at: number) => void;
  /** Replaces all the work that a peer reported, by replica. */
  readonly noteWork: (peer: string, work: ReadonlyMap<ReplicaKey, ReplicaWork>) => void;
  /** Replaces the work that a router reported at one replica; work without requests removes it. */
  readonly noteWorkAt: (reporter: string, key: ReplicaKey, work: ReplicaWork) => void;
  /** Replaces all reported work at one replica by one router's report of the work of all other routers. */
  readonly replaceWorkAt: (reporter: string, key: ReplicaKey, work: ReplicaWork) => void;
  readonly subscribe: (listener: (entry: ReplicaEntry, departure: Departure | undefined) => void) => void;
}

export const createReplicaTable = (): ReplicaTable => {
  const states = new Map<string, ReplicaState>();
  const byKey = new Map<ReplicaKey, ReplicaState>();
  const byName = new Map<string, ReplicaState>();
  const peerWork = createPeerWork((key) => byKey.get(key));
  const byService = new Map<string, ReplicaState[]>();
  const drainingByService = new Map<string, ReplicaState[]>();
  /** Incarnations that drain or drained, listed or not: the registry may remove one and list it as ready again. */
  const draining = createBoundedMap<DrainingReport, ReplicaKey>(maxRememberedIncarnations);
  /** By id: why an incarnation was removed; deleted when it is listed again. */
  const departures = createBoundedMap<Departure>(maxRememberedIncarnations);
  /** By name: the id of an incarnation that left the registry, until the name is listed again. */
  const goneIds = createBoundedMap<string>(maxRememberedIncarnations);
  /** By id: the backoff of an incarnation that was removed, kept because the registry may list it again. */
  const backoffs = createBoundedMap<ReplicaBackoff>(maxRememberedIncarnations);
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
    departures.set(entry.id, departure);
    if (departure === "gone") goneIds.set(entry.registeredAs, entry.id);
    states.delete(entry.id);
    byKey.delete(replicaKeyOf(entry.id));
    byName.delete(entry.registeredAs);
    reindex();
    notify(entry, departure);
  };

  const removeOtherIncarnation = ({ id, registeredAs }: ReplicaEntry): void => {
    const listed = byName.get(registeredAs);
    if (listed === undefined || listed.entry.id === id) return;
    removeState(listed, "restarted");
    // Its process has ended: requests that may be retried elsewhere need not wait for the connection to break.
    for (const abandon of [...listed.abandon]) abandon();
  };

  const add = (entry: ReplicaEntry): void => {
    const key = replicaKeyOf(entry.id);
    const report = draining.get(key);
    const state = createReplicaState({ ...entry, isDraining: report !== undefined });
    state.draining = report;
    state.backoff = backoffs.get(entry.id);
    const goneId = goneIds.get(entry.registeredAs);
    if (goneId !== undefined) departures.set(goneId, "restarted");
    goneIds.delete(entry.registeredAs);
    departures.delete(entry.id);
    states.set(entry.id, state);
    byKey.set(key, state);
    byName.set(entry.registeredAs, state);
    reindex();
    notify(state.entry, report === undefined ? undefined : "draining");
  };

  const startDraining = (state: ReplicaState, report: DrainingReport): void => {
    state.entry = { ...state.entry, isDraining: true };
    state.draining = report;
    reindex();
    notify(state.entry, "draining");
  };

  const markKeyDraining = (key: ReplicaKey, report: DrainingReport): boolean => {
    if (draining.has(key)) return false;
    draining.set(key, report);
    const listed = byKey.get(key);
    if (listed !== undefined) startDraining(listed, report);
    return true;
  };

  const markDraining = (id: string, report: DrainingReport): boolean =>
    markKeyDraining(replicaKeyOf(id), report);

  const update = (known: ReplicaState, entry: ReplicaEntry): boolean => {
    const { service, isDraining } = known.entry;
    known.entry = { ...entry, isDraining };
    for (const [model, version] of entry.weights) raiseWeights(known, model, version, unknownTime);
    if (service === entry.service) return false;
    reindex();
    return true;
  };

  const put = (entry: ReplicaEntry): boolean => {
    const starts = entry.isDraining && markDraining(entry.id, { source: "registry", detail: "" });
    removeOtherIncarnation(entry);
    const known = states.get(entry.id);
    if (known !== undefined) return update(known, entry) || starts;
    add(entry);
    return true;
  };

  const remove = (name: string): boolean => {
    const known = byName.get(name);
    if (known === undefined) return false;
    removeState(known, "gone");
    return true;
  };

  return {
    get: (id) => states.get(id),
    getByKey: (key) => byKey.get(key),
    getByName: (name) => byName.get(name),
    noteWork: peerWork.note,
    noteWorkAt: peerWork.noteAt,
    replaceWorkAt: peerWork.replaceAt,
    all: () => [...states.values()],
    serving: (service) => byService.get(service) ?? [],
    draining: (service) => drainingByService.get(service) ?? [],
    put,
    markDraining,
    markKeyDraining,
    remove,
    departureOf: departures.get,
    noteWeights: (id, model, version, at = unknownTime) => {
      const state = states.get(id);
      if (state !== undefined) raiseWeights(state, model, version, at);
    },
    noteReportedWeights: (id, weights, at) => {
      const state = states.get(id);
      if (state === undefined) return;
      for (const [model, version] of weights) setReportedWeights(state, model, version, at);
    },
    denyWeights: (id, model, version, at) => {
      states.get(id)?.deniedWeights.set(model, { version, at });
    },
    subscribe: (listener) => {
      listeners.push(guardCallback("noteReplica", listener, ({ id }) => id));
    },
  };
};
