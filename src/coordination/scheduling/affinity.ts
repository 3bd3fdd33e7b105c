/**
 * Chooses the prefix level that decides where a prompt is placed (the affinity level), and estimates its request
 * rate.
 *
 * It is the deepest level that is requested again while engines still have it cached, or the first level if none is.
 * Shallower levels are small and soon cached on every engine; deeper ones, such as the question itself, are never
 * requested again.
 */
import type { PrefixLevel } from "../../protocol/types.ts";
import { createHeatSketch } from "../../state/heatSketch.ts";
import type { HotKey } from "../../state/heatSketch.ts";
import {
  heatSketchLimits,
  rareSamplingInterval,
  rareReuseThreshold,
  reuseGain,
  reuseThreshold,
} from "./constants.ts";
import type { Work } from "./Scheduler.ts";

/** The level by which a prompt is placed. */
export interface Affinity {
  readonly level: PrefixLevel;
  /** Index among the prompt's levels. */
  readonly index: number;
  /** Requests of all routers that share the level, per millisecond. */
  readonly rate: number;
}

/** Learns which prefix levels are reused. */
export interface AffinityLearner {
  /** Records a request's levels. */
  readonly record: (work: Work, now: number) => void;
  /**
   * @param retention - How long engines keep unused prefixes, milliseconds.
   * @returns The affinity level; `undefined` for a prompt without levels.
   */
  readonly choose: (work: Work, retention: number, now: number) => Affinity | undefined;
  /** @returns Requests of all routers that share a level, per millisecond. */
  readonly rate: (key: string, now: number) => number;
  readonly hottest: (count: number, now: number) => readonly HotKey[];
  readonly size: () => number;
}

/**
 * Creates a learner.
 *
 * @param liveRouters - Number of routers, each of which is assumed to see an equal share of the requests.
 */
export const createAffinityLearner = (liveRouters: () => number): AffinityLearner => {
  const heat = createHeatSketch(heatSketchLimits);
  /** For each request class, by distance from the prompt's last level: share of levels seen before. */
  const reuseByClass = new Map<string, number[]>();

  let skippedCount = 0;

  const reuseOf = (work: Work): number[] => {
    const name = work.context.requestClass.name;
    const rates = reuseByClass.get(name) ?? [];
    reuseByClass.set(name, rates);
    return rates;
  };

  /** Until samples exist, the last level of a prompt is assumed to be new and the others to be shared. */
  const initialReuse = (distance: number): number => (distance === 0 ? 0 : 1);

  /** Levels that are hardly ever reused would only fill the sketch, so they are sampled. */
  const skipsSample = (reuseRate: number | undefined): boolean => {
    if (reuseRate === undefined || reuseRate >= rareReuseThreshold) return false;
    skippedCount = (skippedCount + 1) % rareSamplingInterval;
    return skippedCount !== 0;
  };

  const record = (work: Work, now: number): void => {
    const rates = reuseOf(work);
    const last = work.levels.length - 1;
    work.levels.forEach(({ key }, index) => {
      const distance = last - index;
      if (skipsSample(rates[distance])) return;
      const previous = rates[distance] ?? initialReuse(distance);
      rates[distance] = previous + ((heat.has(key) ? 1 : 0) - previous) * reuseGain;
      heat.note(key, now);
    });
  };

  const rate = (key: string, now: number): number => heat.rate(key, now) * Math.max(1, liveRouters());

  const choose = (work: Work, retention: number, now: number): Affinity | undefined => {
    const rates = reuseOf(work);
    const last = work.levels.length - 1;
    for (let index = last; index >= 0; index -= 1) {
      const level = work.levels[index];
      if (level === undefined) continue;
      const levelRate = rate(level.key, now);
      const distance = last - index;
      const reuseRate = rates[distance] ?? initialReuse(distance);
      // A level seen at most once has rate 0: use the reuse share at its distance.
      const reuseProbability = levelRate === 0 ? reuseRate : 1 - Math.exp(-levelRate * retention);
      if (index === 0 || reuseProbability >= reuseThreshold) return { level, index, rate: levelRate };
    }
    return undefined;
  };

  return { record, choose, rate, hottest: heat.hottest, size: heat.size };
};
