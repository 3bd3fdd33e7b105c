/**
 * What a router believes about each engine: where it is, whether it takes work, which incarnation and weights
 * it runs, its last load report, and how many attempts of this router are under way there.
 */
import type { EngineLoad, ListedVm } from "../protocol/types.ts";

/**
 * - `unconfirmed`: listed, but its incarnation is not known (again); takes no work that relies on its cache.
 * - `live`: it has reported.
 * - `suspect`: its last call or report failed.
 * - `leaving`: gets no new work.
 */
export type EngineState = "unconfirmed" | "live" | "suspect" | "leaving";

/** One engine as it is believed to be. The directory changes entries in place: read, do not keep. */
export interface EngineReplica {
  readonly id: string;
  readonly pool: string;
  readonly dataCentre: string;
  readonly url: string;
  readonly state: EngineState;
  readonly load: EngineLoad | undefined;
  /** When the report was taken, milliseconds on this process's monotonic clock. */
  readonly loadReadAt: number;
  /** Attempts of this router that have not ended. */
  readonly inFlight: number;
  /** When the engine last failed a call, milliseconds on the monotonic clock. */
  readonly failedAt: number | undefined;
  /** True while the platform lists the engine as leaving, whatever it says itself. */
  readonly listedLeaving: boolean;
}

/** What happened to an engine. A new incarnation or new weights void all beliefs about its cache. */
export type EngineChange =
  | { readonly kind: "added" | "removed"; readonly engine: EngineReplica }
  | { readonly kind: "restarted" | "reloaded"; readonly engine: EngineReplica }
  | { readonly kind: "state"; readonly engine: EngineReplica; readonly from: EngineState };

export type EngineListener = (change: EngineChange) => void;

/** The engines known to one router. */
export interface EngineDirectory {
  readonly get: (id: string) => EngineReplica | undefined;
  readonly all: () => readonly EngineReplica[];
  readonly inPool: (pool: string) => readonly EngineReplica[];
  /** Takes a whole VM list: adds what is new, drops what is gone, marks what is leaving. */
  readonly applyVms: (vms: readonly ListedVm[]) => void;
  /** Takes a load report; one older than the last is ignored. */
  readonly applyLoad: (id: string, load: EngineLoad, readAt: number) => void;
  /**
   * Takes a report that a restarted router got from a peer's memory. The engine stays unconfirmed until a
   * report of its own comes, and counts as restarted if that shows another incarnation.
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

/** Makes an empty directory. */
export const createEngineDirectory = (): EngineDirectory => {
  const engines = new Map<string, Entry>();
  const pools = new Map<string, Entry[]>();
  const listeners = new Set<EngineListener>();

  const tell = (change: EngineChange): void => {
    for (const listener of listeners) listener(change);
  };

  const remove = (engine: Entry): void => {
    engines.delete(engine.id);
    pools.set(
      engine.pool,
      (pools.get(engine.pool) ?? []).filter((other) => other !== engine),
    );
    tell({ kind: "removed", engine });
  };

  const add = (vm: ListedVm): void => {
    const engine = newEntry(vm);
    engines.set(vm.id, engine);
    pools.set(vm.pool, [...(pools.get(vm.pool) ?? []), engine]);
    tell({ kind: "added", engine });
  };

  const setState = (engine: Entry, state: EngineState): void => {
    const from = engine.state;
    if (from === state) return;
    engine.state = state;
    tell({ kind: "state", engine, from });
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
    if (before !== undefined && before.incarnation !== load.incarnation) tell({ kind: "restarted", engine });
    else if (before !== undefined && before.weightsVersion !== load.weightsVersion) {
      tell({ kind: "reloaded", engine });
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
