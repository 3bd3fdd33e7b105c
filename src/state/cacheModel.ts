/**
 * What a router believes about the engines' prompt caches, in bounded memory.
 *
 * A belief holds for one incarnation of an engine with one version of weights. It is void at once when the
 * directory learns of another incarnation or other weights, when the engine leaves the directory, and when an
 * answer shows that the engine has restarted before any report did.
 */
import type { EngineDirectory, EngineReplica } from "./engineDirectory.ts";

/** The engine as it was when work was given to it. Only a stamp that still holds can found a belief. */
export interface EngineStamp {
  readonly engineId: string;
  readonly incarnation: string;
  readonly weightsVersion: string;
  /** Changes whenever the beliefs about the engine are void. */
  readonly epoch: number;
}

/** When an engine was last known to hold a level; valid for one epoch of the engine. */
interface Belief {
  readonly at: number;
  readonly stamp: EngineStamp;
}

/** Beliefs about one level, by engine. */
export type LevelView = ReadonlyMap<string, Belief>;

/** Beliefs about caches. Times are milliseconds on one monotonic clock. */
export interface CacheModel extends Disposable {
  /** @returns The engine as it is now; undefined while its cache must not be relied on. */
  readonly stampOf: (engine: EngineReplica) => EngineStamp | undefined;
  /** Takes that an engine holds the levels; ignored unless the stamp still holds. */
  readonly note: (keys: readonly string[], stamp: EngineStamp, at: number) => void;
  /** Takes that an engine does not hold the levels. */
  readonly forget: (keys: readonly string[], engineId: string) => void;
  /** Takes that an engine answered with another incarnation than it was stamped with. */
  readonly markRestarted: (stamp: EngineStamp, at: number) => void;
  readonly levelView: (key: string) => LevelView | undefined;
  /** @returns Milliseconds since the belief was founded; undefined without a valid one. */
  readonly age: (beliefs: LevelView | undefined, stamp: EngineStamp, now: number) => number | undefined;
  /** Levels and beliefs kept, valid or not. */
  readonly size: () => { readonly levels: number; readonly beliefs: number };
}

/** How much a picture keeps. */
export interface CachePictureLimits {
  readonly maximumLevels: number;
  readonly maximumEnginesPerLevel: number;
}

interface Doubt {
  readonly incarnation: string;
  readonly at: number;
}

/** Removes the oldest entry of a map that keeps its entries by age. */
const dropOldest = <T>(map: Map<string, T>): void => {
  const [oldest] = map.keys();
  if (oldest !== undefined) map.delete(oldest);
};

/** Makes an empty picture, which follows the directory until it is disposed. */
export const createCacheModel = (directory: EngineDirectory, limits: CachePictureLimits): CacheModel => {
  /** The levels founded least recently come first. */
  const levels = new Map<string, Map<string, Belief>>();
  const epochs = new Map<string, number>();
  const doubts = new Map<string, Doubt>();
  let lastEpoch = 0;

  const renew = (engineId: string): void => {
    lastEpoch += 1;
    epochs.set(engineId, lastEpoch);
  };

  const epochOf = (engineId: string): number => {
    if (!epochs.has(engineId)) renew(engineId);
    return epochs.get(engineId) ?? 0;
  };

  const unsubscribe = directory.subscribe(({ kind, engine }) => {
    if (kind === "restarted" || kind === "reloaded") renew(engine.id);
    if (kind !== "removed") return;
    epochs.delete(engine.id);
    doubts.delete(engine.id);
  });

  /** True while the last report is older than the answer that contradicted it. */
  const isDoubted = (engine: EngineReplica): boolean => {
    const doubt = doubts.get(engine.id);
    if (doubt === undefined) return false;
    if (doubt.incarnation === engine.load?.incarnation && engine.loadReadAt <= doubt.at) return true;
    doubts.delete(engine.id);
    return false;
  };

  const stampOf = (engine: EngineReplica): EngineStamp | undefined => {
    if (engine.load === undefined || engine.state !== "live" || isDoubted(engine)) return undefined;
    const { incarnation, weightsVersion } = engine.load;
    return { engineId: engine.id, incarnation, weightsVersion, epoch: epochOf(engine.id) };
  };

  const noteLevel = (key: string, belief: Belief): void => {
    const known = levels.get(key) ?? new Map<string, Belief>();
    known.delete(belief.stamp.engineId);
    if (known.size >= limits.maximumEnginesPerLevel) dropOldest(known);
    known.set(belief.stamp.engineId, belief);
    levels.delete(key);
    if (levels.size >= limits.maximumLevels) dropOldest(levels);
    levels.set(key, known);
  };

  const note = (keys: readonly string[], stamp: EngineStamp, at: number): void => {
    const engine = directory.get(stamp.engineId);
    if (engine === undefined || epochs.get(stamp.engineId) !== stamp.epoch || isDoubted(engine)) return;
    if (engine.load?.incarnation !== stamp.incarnation) return;
    if (engine.load.weightsVersion !== stamp.weightsVersion) return;
    for (const key of keys) noteLevel(key, { at, stamp });
  };

  const forget = (keys: readonly string[], engineId: string): void => {
    for (const key of keys) {
      const known = levels.get(key);
      known?.delete(engineId);
      if (known?.size === 0) levels.delete(key);
    }
  };

  const doubt = (stamp: EngineStamp, at: number): void => {
    if (epochs.get(stamp.engineId) !== stamp.epoch) return;
    renew(stamp.engineId);
    doubts.set(stamp.engineId, { incarnation: stamp.incarnation, at });
  };

  const age = (beliefs: LevelView | undefined, stamp: EngineStamp, now: number): number | undefined => {
    const belief = beliefs?.get(stamp.engineId);
    return belief?.stamp.epoch === stamp.epoch ? Math.max(0, now - belief.at) : undefined;
  };

  const countBeliefs = (): number => {
    let beliefs = 0;
    for (const known of levels.values()) beliefs += known.size;
    return beliefs;
  };

  return {
    stampOf,
    note,
    forget,
    markRestarted: doubt,
    levelView: (key) => levels.get(key),
    age,
    size: () => ({ levels: levels.size, beliefs: countBeliefs() }),
    [Symbol.dispose]: unsubscribe,
  };
};
