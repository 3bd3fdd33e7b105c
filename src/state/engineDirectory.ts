/**
 * A router's view of each engine: its address, whether it accepts work, its incarnation and weights, its last load
 * report, and the number of attempts of this router that are in progress there.
 */
import type { EngineLoad, ListedVm } from "../protocol/types.ts";

/**
 * - `unconfirmed`: listed, but its incarnation is not known or confirmed yet; gets no work that relies on its cache.
 * - `live`: it has sent a load report.
 * - `suspect`: its last call or load report failed.
 * - `leaving`: gets no new work.
 */
export type EngineState = "unconfirmed" | "live" | "suspect" | "leaving";

/** One engine. The directory changes entries in place, so read them at once and do not store them. */
export interface EngineReplica {
  readonly id: string;
  readonly pool: string;
  readonly dataCentre: string;
  readonly url: string;
  readonly state: EngineState;
  readonly load: EngineLoad | undefined;
  /** When the load report was read, milliseconds on this process's monotonic clock. */
  readonly loadReadAt: number;
  /** Attempts of this router that have not ended. */
  readonly inFlight: number;
  /** When the engine last failed a call, milliseconds on the monotonic clock. */
  readonly failedAt: number | undefined;
  /** True while the VM list marks the engine as leaving, whatever its own reports say. */
  readonly listedLeaving: boolean;
}

/** A change of an engine. A new incarnation or new weights invalidate everything known about its cache. */
export type EngineChange =
  | { readonly kind: "added" | "removed"; readonly engine: EngineReplica }
  | { readonly kind: "restarted" | "reloaded"; readonly engine: EngineReplica }
  | { readonly kind: "state"; readonly engine: EngineReplica; readonly from: EngineState };

export type EngineListener = (change: EngineChange) => void;

/** The engines that one router knows. */
export interface EngineDirectory {
  readonly get: (id: string) => EngineReplica | undefined;
  readonly all: () => readonly EngineReplica[];
  readonly inPool: (pool: string) => readonly EngineReplica[];
  /** Applies a complete VM list: adds new engines, removes missing ones and marks those that are leaving. */
  readonly applyVms: (vms: readonly ListedVm[]) => void;
  /** Applies a load report; one that is older than the last is ignored. */
  readonly applyLoad: (id: string, load: EngineLoad, readAt: number) => void;
  /**
   * Applies a load report that a restarted router received from a peer. The engine stays unconfirmed until it reports
   * itself, and counts as restarted if that report shows another incarnation.
   */
  readonly restoreLoad: (id: string, load: EngineLoad, readAt: number) => void;
  readonly markLeaving: (id: string) => void;
  readonly markFailed: (id: string, at: number) => void;
  readonly addInFlight: (id: string, difference: 1 | -1) => void;
  /** @returns A function that ends the subscription. */
  readonly subscribe: (listener: EngineListener) => () => void;
}

type Entry = { -readonly [Key in keyof EngineReplica]: EngineReplica[Key] };

const newEntry = (vm: ListedVm): Entry => ({
  id: vm.id,
  pool: vm.pool,
  dataCentre: vm.dataCentre,
  url: vm.url,
  state: vm.state === "leaving" ? "leaving" : "unconfirmed",
  load: undefined,
  loadReadAt: 0,
  inFlight: 0,
  failedAt: undefined,
  listedLeaving: vm.state === "leaving",
});

export const createEngineDirectory = (): EngineDirectory => {
  const engines = new Map<string, Entry>();
  const pools = new Map<string, Entry[]>();
  const listeners = new Set<EngineListener>();

  const notify = (change: EngineChange): void => {
    for (const listener of listeners) listener(change);
  };

  const remove = (engine: Entry): void => {
    engines.delete(engine.id);
    pools.set(
      engine.pool,
      (pools.get(engine.pool) ?? []).filter((other) => other !== engine),
    );
    notify({ kind: "removed", engine });
  };

  const add = (vm: ListedVm): void => {
    const engine = newEntry(vm);
    engines.set(vm.id, engine);
    pools.set(vm.pool, [...(pools.get(vm.pool) ?? []), engine]);
    notify({ kind: "added", engine });
  };

  const setState = (engine: Entry, state: EngineState): void => {
    const from = engine.state;
    if (from === state) return;
    engine.state = state;
    notify({ kind: "state", engine, from });
  };

  const applyVm = (vm: ListedVm): void => {
    const engine = engines.get(vm.id);
    if (engine?.url === vm.url && engine.pool === vm.pool) {
      engine.listedLeaving = vm.state === "leaving";
      if (engine.listedLeaving) setState(engine, "leaving");
      return;
    }
    if (engine !== undefined) remove(engine);
    add(vm);
  };

  const applyVms = (vms: readonly ListedVm[]): void => {
    const listed = vms.filter((vm) => vm.role === "engine");
    const ids = new Set(listed.map((vm) => vm.id));
    for (const engine of [...engines.values()]) {
      if (!ids.has(engine.id)) remove(engine);
    }
    listed.forEach(applyVm);
  };

  const applyLoad = (id: string, load: EngineLoad, readAt: number): void => {
    const engine = engines.get(id);
    if (engine === undefined || engine.loadReadAt > readAt) return;
    const before = engine.load;
    engine.load = load;
    engine.loadReadAt = readAt;
    engine.failedAt = undefined;
    if (before !== undefined && before.incarnation !== load.incarnation)
      notify({ kind: "restarted", engine });
    else if (before !== undefined && before.weightsVersion !== load.weightsVersion) {
      notify({ kind: "reloaded", engine });
    }
    setState(engine, load.leaving || engine.listedLeaving ? "leaving" : "live");
  };

  const restoreLoad = (id: string, load: EngineLoad, readAt: number): void => {
    const engine = engines.get(id);
    if (engine === undefined || engine.load !== undefined) return;
    engine.load = load;
    engine.loadReadAt = readAt;
  };

  const markFailed = (id: string, at: number): void => {
    const engine = engines.get(id);
    if (engine === undefined) return;
    engine.failedAt = at;
    if (engine.state !== "leaving") setState(engine, "suspect");
  };

  const markLeaving = (id: string): void => {
    const engine = engines.get(id);
    if (engine !== undefined) setState(engine, "leaving");
  };

  const addInFlight = (id: string, difference: 1 | -1): void => {
    const engine = engines.get(id);
    if (engine !== undefined) engine.inFlight = Math.max(0, engine.inFlight + difference);
  };

  return {
    get: (id) => engines.get(id),
    all: () => [...engines.values()],
    inPool: (pool) => pools.get(pool) ?? [],
    applyVms,
    applyLoad,
    restoreLoad,
    markLeaving,
    markFailed,
    addInFlight,
    subscribe: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
};
