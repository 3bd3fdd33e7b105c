/** How much of a prompt an engine is expected to hold in its cache. */
import type { PrefixLevel } from "../../protocol/types.ts";
import type { CachePicture, EngineStamp, LevelBeliefs } from "../../state/cachePicture.ts";
import { youngestBelief } from "./constants.ts";

/** Engines forget what was used least recently: hardly anything before a time, nearly all after it. */
const steepness = 3;

/** @returns Confidence that an engine still holds what it held so long ago, 0 to 1; half at its retention. */
export const confidenceAt = (age: number, retention: number): number =>
  1 / (1 + (age / retention) ** steepness);

/** Own work that is older by so many retentions tells nothing any more. */
const staleAfter = 2;

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
   * @param prior - Confidence that other routers' work has brought the affinity level there; 0 where the engine
   * is not one of the level's homes.
   * @returns Tokens, weighted with the confidence that the engine holds them.
   */
  readonly cachedTokens: (
    stamp: EngineStamp | undefined,
    retention: number,
    prior: number,
    now: number,
  ) => number;
  /** @returns True if this router's own work founds no belief in the affinity level there, or a stale one. */
  readonly isUnknown: (stamp: EngineStamp | undefined, retention: number, now: number) => boolean;
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
    return age === undefined ? 0 : confidenceAt(age, retention);
  };

  const believed = (stamp: EngineStamp | undefined, retention: number, now: number): Belief | undefined => {
    if (stamp === undefined) return undefined;
    for (let index = levels.length - 1; index >= 0; index -= 1) {
      const age = picture.age(beliefs[index], stamp, now);
      if (age === undefined) continue;
      if (age < youngestBelief) return undefined;
      return { tokens: levels[index]?.tokens ?? 0, confidence: confidenceAt(age, retention) };
    }
    return undefined;
  };

  return {
    believed,
    isUnknown: (stamp, retention, now) => {
      if (stamp === undefined) return true;
      const age = picture.age(beliefs[affinityIndex], stamp, now);
      return age === undefined || age > retention * staleAfter;
    },
    cachedTokens: (stamp, retention, prior, now) => {
      if (stamp === undefined) return 0;
      let tokens = 0;
      // An engine that holds a level holds the levels above it.
      let deeper = 0;
      for (let index = levels.length - 1; index >= 0; index -= 1) {
        const own = confidenceOf(index, stamp, retention, now);
        const confidence = index <= affinityIndex ? 1 - (1 - own) * (1 - prior) : own;
        deeper = Math.max(deeper, confidence);
        tokens += deeper * ((levels[index]?.tokens ?? 0) - (levels[index - 1]?.tokens ?? 0));
      }
      return tokens;
    },
  };
};
