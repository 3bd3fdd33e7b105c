/**
 * Which level of a prompt decides where it belongs, and over how many engines that level is spread.
 *
 * The deepest level that returns while engines still hold it is the one worth keeping together: shallower ones
 * are small and soon everywhere, deeper ones (the question itself) never return.
 */
import type { PrefixLevel } from "../../protocol/types.ts";
import { createHeatSketch } from "../../state/heatSketch.ts";
import type { HotKey } from "../../state/heatSketch.ts";
import { heatLimits, rareCounting, rareReuse, reuseGain, reuseThreshold } from "./constants.ts";
import type { Work } from "./Scheduler.ts";

/** The level by which a prompt is placed. */
export interface Affinity {
  readonly level: PrefixLevel;
  /** Its place among the prompt's levels. */
  readonly index: number;
  /** Requests of all routers that share the level, a millisecond. */
  readonly rate: number;
}

/** Learns which levels return. */
export interface AffinityLearner {
  /** Counts a request's levels. */
  readonly note: (work: Work, now: number) => void;
  /**
   * @param retention - How long engines keep unused prefixes, milliseconds.
   * @returns Undefined for a prompt without levels.
   */
  readonly choose: (work: Work, retention: number, now: number) => Affinity | undefined;
  /** @returns Requests of all routers that share a level, a millisecond. */
  readonly rate: (key: string, now: number) => number;
  readonly hottest: (count: number, now: number) => readonly HotKey[];
  readonly size: () => number;
}

/** Makes a learner. @param liveRouters - Routers that see a like share of the requests. */
export const createAffinityLearner = (liveRouters: () => number): AffinityLearner => {
  const heat = createHeatSketch(heatLimits);
  /** For each class, by distance from the prompt's end: how often a level had been seen before. */
  const reuse = new Map<string, number[]>();

  let skipped = 0;

  const reuseOf = (work: Work): number[] => {
    const name = work.context.requestClass.name;
    const known = reuse.get(name) ?? [];
    reuse.set(name, known);
    return known;
  };

  /** Until learned, the end of a prompt is taken to be new and the rest to be shared. */
  const firstReuse = (distance: number): number => (distance === 0 ? 0 : 1);

  /** Levels that hardly ever return would only fill the sketch: one in some of them is enough to learn by. */
  const isRarelyCounted = (usual: number | undefined): boolean => {
    if (usual === undefined || usual >= rareReuse) return false;
    skipped = (skipped + 1) % rareCounting;
    return skipped !== 0;
  };

  const note = (work: Work, now: number): void => {
    const learned = reuseOf(work);
    const last = work.levels.length - 1;
    work.levels.forEach(({ key }, index) => {
      const distance = last - index;
      if (isRarelyCounted(learned[distance])) return;
      const before = learned[distance] ?? firstReuse(distance);
      learned[distance] = before + ((heat.has(key) ? 1 : 0) - before) * reuseGain;
      heat.note(key, now);
    });
  };

  const rate = (key: string, now: number): number => heat.rate(key, now) * Math.max(1, liveRouters());

  const choose = (work: Work, retention: number, now: number): Affinity | undefined => {
    const learned = reuseOf(work);
    const last = work.levels.length - 1;
    for (let index = last; index >= 0; index -= 1) {
      const level = work.levels[index];
      if (level === undefined) continue;
      const levelRate = rate(level.key, now);
      const distance = last - index;
      const usual = learned[distance] ?? firstReuse(distance);
      // A level seen once has no rate yet: it is taken to return as often as others in its place do.
      const returns = levelRate === 0 ? usual : 1 - Math.exp(-levelRate * retention);
      if (index === 0 || returns >= reuseThreshold) return { level, index, rate: levelRate };
    }
    return undefined;
  };

  return { note, choose, rate, hottest: heat.hottest, size: heat.size };
};
