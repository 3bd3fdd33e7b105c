/** How much of a prompt an engine is expected to hold in its cache. */
import type { PrefixLevel } from "../../protocol/types.ts";
import type { CachePicture, EngineStamp, LevelBeliefs } from "../../state/cachePicture.ts";
import { youngestBelief } from "./constants.ts";

/** A level that an engine is believed to hold from this router's own work. */
export interface Belief {
  readonly tokens: number;
  readonly confidence: number;
}

/** What is known of one prompt's levels, looked up once for all engines that are compared. */
export interface CacheForecast {
  /**
   * @param stamp - The engine; undefined where its cache must not be relied on.
   * @param retention - Time constant of the engine's forgetting, milliseconds.
   * @param othersRate - Rate, a millisecond, at which other routers are believed to send the affinity level to
   * this engine; 0 where it is not one of the level's homes.
   * @returns Tokens, weighted with the confidence that the engine holds them.
   */
  readonly cachedTokens: (
    stamp: EngineStamp | undefined,
    retention: number,
    othersRate: number,
    now: number,
  ) => number;
  /** @returns The deepest level believed in; undefined where none is, or it is too fresh to test anything. */
  readonly believed: (stamp: EngineStamp | undefined, retention: number, now: number) => Belief | undefined;
}

/**
 * Makes a forecast for one prompt.
 *
 * @param affinityKey - The level by which the prompt is placed; levels above it go where it goes.
 */
export const createCacheForecast = (
  picture: CachePicture,
  levels: readonly PrefixLevel[],
  affinityKey: string,
): CacheForecast => {
  const beliefs: readonly (LevelBeliefs | undefined)[] = levels.map(({ key }) => picture.levelBeliefs(key));
  const affinityIndex = levels.findIndex(({ key }) => key === affinityKey);

  const confidenceOf = (index: number, stamp: EngineStamp, retention: number, now: number): number => {
    const age = picture.age(beliefs[index], stamp, now);
    return age === undefined ? 0 : Math.exp(-age / retention);
  };

  const believed = (stamp: EngineStamp | undefined, retention: number, now: number): Belief | undefined => {
    if (stamp === undefined) return undefined;
    for (let index = levels.length - 1; index >= 0; index -= 1) {
      const age = picture.age(beliefs[index], stamp, now);
      if (age === undefined) continue;
      if (age < youngestBelief) return undefined;
      return { tokens: levels[index]?.tokens ?? 0, confidence: Math.exp(-age / retention) };
    }
    return undefined;
  };

  return {
    believed,
    cachedTokens: (stamp, retention, othersRate, now) => {
      if (stamp === undefined) return 0;
      const missedByOthers = Math.exp(-othersRate * retention);
      let tokens = 0;
      // An engine that holds a level holds the levels above it.
      let deeper = 0;
      for (let index = levels.length - 1; index >= 0; index -= 1) {
        const own = confidenceOf(index, stamp, retention, now);
        const confidence = index <= affinityIndex ? 1 - (1 - own) * missedByOthers : own;
        deeper = Math.max(deeper, confidence);
        tokens += deeper * ((levels[index]?.tokens ?? 0) - (levels[index - 1]?.tokens ?? 0));
      }
      return tokens;
    },
  };
};
