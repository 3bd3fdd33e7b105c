/** Predicts how much of a prompt an engine has in its prefix cache. */
import type { PrefixLevel } from "../../protocol/types.ts";
import type { CacheModel, EngineStamp, LevelView } from "../../state/cacheModel.ts";
import { minimumRetentionSampleAge } from "./constants.ts";

/**
 * Engines evict the least recently used blocks: hardly any before a certain age and nearly all after it. Exponent of
 * the sigmoid that models this.
 */
const steepness = 3;

/**
 * @param age - Time since the engine was last known to have the prefix cached, milliseconds.
 * @param retention - How long the engine keeps unused prefixes, milliseconds.
 * @returns Confidence that the engine still has it cached, 0 to 1; 0.5 where the age equals the retention.
 */
export const confidenceAt = (age: number, retention: number): number =>
  1 / (1 + (age / retention) ** steepness);

/** Age, in retentions, from which this router's own work says nothing about a cache any more. */
const staleRetentions = 2;

/** A prefix level that an engine is expected to have cached, judging by this router's own work. */
export interface ExpectedLevel {
  readonly tokens: number;
  readonly confidence: number;
}

/** Cache predictions for one prompt; the prompt's levels are looked up once for all compared engines. */
export interface CacheForecast {
  /**
   * @param stamp - The engine's stamp; `undefined` if its cache must not be relied on.
   * @param retention - How long the engine keeps unused prefixes, milliseconds.
   * @param prior - Confidence that other routers' work has put the affinity level into the cache; 0 if the engine
   * is not one of the level's homes.
   * @returns Expected number of cached tokens: tokens weighted with the confidence that they are cached.
   */
  readonly cachedTokens: (
    stamp: EngineStamp | undefined,
    retention: number,
    prior: number,
    now: number,
  ) => number;
  /** @returns True if this router's own work shows nothing, or nothing recent, about the affinity level there. */
  readonly isUnknown: (stamp: EngineStamp | undefined, retention: number, now: number) => boolean;
  /**
   * @returns The deepest level expected in the cache; `undefined` if there is none, or if it is too recent to be a
   * sample of the engine's retention.
   */
  readonly expectedLevel: (
    stamp: EngineStamp | undefined,
    retention: number,
    now: number,
  ) => ExpectedLevel | undefined;
}

/**
 * Creates the forecast for one prompt.
 *
 * @param affinityKey - Key of the affinity level; the levels above it are cached wherever it is.
 */
export const createCacheForecast = (
  cacheModel: CacheModel,
  levels: readonly PrefixLevel[],
  affinityKey: string,
): CacheForecast => {
  const levelViews: readonly (LevelView | undefined)[] = levels.map(({ key }) => cacheModel.levelView(key));
  const affinityIndex = levels.findIndex(({ key }) => key === affinityKey);

  const confidenceOf = (index: number, stamp: EngineStamp, retention: number, now: number): number => {
    const age = cacheModel.age(levelViews[index], stamp, now);
    return age === undefined ? 0 : confidenceAt(age, retention);
  };

  const expectedLevel = (
    stamp: EngineStamp | undefined,
    retention: number,
    now: number,
  ): ExpectedLevel | undefined => {
    if (stamp === undefined) return undefined;
    for (let index = levels.length - 1; index >= 0; index -= 1) {
      const age = cacheModel.age(levelViews[index], stamp, now);
      if (age === undefined) continue;
      if (age < minimumRetentionSampleAge) return undefined;
      return { tokens: levels[index]?.tokens ?? 0, confidence: confidenceAt(age, retention) };
    }
    return undefined;
  };

  return {
    expectedLevel,
    isUnknown: (stamp, retention, now) => {
      if (stamp === undefined) return true;
      const age = cacheModel.age(levelViews[affinityIndex], stamp, now);
      return age === undefined || age > retention * staleRetentions;
    },
    cachedTokens: (stamp, retention, prior, now) => {
      if (stamp === undefined) return 0;
      let tokens = 0;
      // An engine that has a level cached also has the levels above it.
      let deepestConfidence = 0;
      for (let index = levels.length - 1; index >= 0; index -= 1) {
        const observed = confidenceOf(index, stamp, retention, now);
        const confidence = index <= affinityIndex ? 1 - (1 - observed) * (1 - prior) : observed;
        deepestConfidence = Math.max(deepestConfidence, confidence);
        tokens += deepestConfidence * ((levels[index]?.tokens ?? 0) - (levels[index - 1]?.tokens ?? 0));
      }
      return tokens;
    },
  };
};
