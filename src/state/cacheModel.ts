/**
 * A router's model of the engines' prompt caches, in bounded memory.
 *
 * An entry is valid for one incarnation of an engine with one version of weights. It becomes invalid at once when the
 * directory learns of another incarnation or other weights, when the engine leaves the directory, and when a response
 * shows that the engine has restarted before a load report does.
 */
import type { EngineDirectory, EngineReplica } from "./engineDirectory.ts";

/** Identifies the state of an engine when a request was sent to it. Entries are added only for a current stamp. */
export interface EngineStamp {
  readonly engineId: string;
  readonly incarnation: string;
  readonly weightsVersion: string;
  /** A counter that changes whenever the entries of the engine become invalid; unrelated to epochs of the store. */
  readonly epoch: number;
}

/** When an engine was last known to have a prefix level in its cache; valid for one epoch of the engine. */
interface LevelEntry {
  readonly at: number;
  readonly stamp: EngineStamp;
}

/** The entries of one prefix level, by engine id. */
export type LevelView = ReadonlyMap<string, LevelEntry>;

/** Which engine has which prefix levels in its cache. Times are milliseconds on one monotonic clock. */
export interface CacheModel extends Disposable {
  /** @returns The engine's current stamp; `undefined` if it is not live, or a response contradicts its last report. */
  readonly stampOf: (engine: EngineReplica) => EngineStamp | undefined;
  /** Records that an engine has the levels in its cache; ignored if the stamp is no longer current. */
  readonly note: (keys: readonly string[], stamp: EngineStamp, at: number) => void;
  /** Records that an engine does not have the levels in its cache. */
  readonly forget: (keys: readonly string[], engineId: string) => void;
  /** Records that an engine answered with another incarnation than that of the stamp. */
  readonly markRestarted: (stamp: EngineStamp, at: number) => void;
  readonly levelView: (key: string) => LevelView | undefined;
  /** @returns Milliseconds since the engine's entry was last updated; `undefined` without a valid entry. */
  readonly age: (view: LevelView | undefined, stamp: EngineStamp, now: number) => number | undefined;
  /** @returns The numbers of levels and of entries (`beliefs`), valid or not. */
  readonly size: () => { readonly levels: number; readonly beliefs: number };
}

/** Bounds of the memory that a model uses. */
export interface CacheModelLimits {
  readonly maximumLevels: number;
  readonly maximumEnginesPerLevel: number;
}

interface ObservedRestart {
  /** The one before the restart. */
  readonly incarnation: string;
  readonly at: number;
}

/** Removes the first entry of a map whose entries are in order of age. */
const dropOldest = <T>(map: Map<string, T>): void => {
  const [oldest] = map.keys();
  if (oldest !== undefined) map.delete(oldest);
};

/** Creates an empty model, which follows the directory until it is disposed. */
export const createCacheModel = (directory: EngineDirectory, limits: CacheModelLimits): CacheModel => {
  /** In order of their last update, the oldest first. */
  const levels = new Map<string, Map<string, LevelEntry>>();
  const epochs = new Map<string, number>();
  const observedRestarts = new Map<string, ObservedRestart>();
  let lastEpoch = 0;

  const startEpoch = (engineId: string): void => {
    lastEpoch += 1;
    epochs.set(engineId, lastEpoch);
  };

  const epochOf = (engineId: string): number => {
    if (!epochs.has(engineId)) startEpoch(engineId);
    return epochs.get(engineId) ?? 0;
  };

  const unsubscribe = directory.subscribe(({ kind, engine }) => {
    if (kind === "restarted" || kind === "reloaded") startEpoch(engine.id);
    if (kind !== "removed") return;
    epochs.delete(engine.id);
    observedRestarts.delete(engine.id);
  });

  /**
   * True while the last load report is older than the response that showed a restart and still names the incarnation
   * before it. Otherwise forgets the restart.
   */
  const isReportOutdated = (engine: EngineReplica): boolean => {
    const restart = observedRestarts.get(engine.id);
    if (restart === undefined) return false;
    if (restart.incarnation === engine.load?.incarnation && engine.loadReadAt <= restart.at) return true;
    observedRestarts.delete(engine.id);
    return false;
  };

  const stampOf = (engine: EngineReplica): EngineStamp | undefined => {
    if (engine.load === undefined || engine.state !== "live" || isReportOutdated(engine)) return undefined;
    const { incarnation, weightsVersion } = engine.load;
    return { engineId: engine.id, incarnation, weightsVersion, epoch: epochOf(engine.id) };
  };

  const noteLevel = (key: string, entry: LevelEntry): void => {
    const holders = levels.get(key) ?? new Map<string, LevelEntry>();
    holders.delete(entry.stamp.engineId);
    if (holders.size >= limits.maximumEnginesPerLevel) dropOldest(holders);
    holders.set(entry.stamp.engineId, entry);
    levels.delete(key);
    if (levels.size >= limits.maximumLevels) dropOldest(levels);
    levels.set(key, holders);
  };

  const note = (keys: readonly string[], stamp: EngineStamp, at: number): void => {
    const engine = directory.get(stamp.engineId);
    if (engine === undefined || epochs.get(stamp.engineId) !== stamp.epoch || isReportOutdated(engine))
      return;
    if (engine.load?.incarnation !== stamp.incarnation) return;
    if (engine.load.weightsVersion !== stamp.weightsVersion) return;
    for (const key of keys) noteLevel(key, { at, stamp });
  };

  const forget = (keys: readonly string[], engineId: string): void => {
    for (const key of keys) {
      const holders = levels.get(key);
      holders?.delete(engineId);
      if (holders?.size === 0) levels.delete(key);
    }
  };

  const markRestarted = (stamp: EngineStamp, at: number): void => {
    if (epochs.get(stamp.engineId) !== stamp.epoch) return;
    startEpoch(stamp.engineId);
    observedRestarts.set(stamp.engineId, { incarnation: stamp.incarnation, at });
  };

  const age = (view: LevelView | undefined, stamp: EngineStamp, now: number): number | undefined => {
    const entry = view?.get(stamp.engineId);
    return entry?.stamp.epoch === stamp.epoch ? Math.max(0, now - entry.at) : undefined;
  };

  const countEntries = (): number => {
    let entries = 0;
    for (const holders of levels.values()) entries += holders.size;
    return entries;
  };

  return {
    stampOf,
    note,
    forget,
    markRestarted,
    levelView: (key) => levels.get(key),
    age,
    size: () => ({ levels: levels.size, beliefs: countEntries() }),
    [Symbol.dispose]: unsubscribe,
  };
};
