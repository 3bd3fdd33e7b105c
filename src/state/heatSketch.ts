/**
 * How often prefixes are asked for, in bounded memory: decayed counts of the keys seen most and last.
 *
 * A full sketch gives up the coldest of its least recently seen keys, so a key that is asked for often stays
 * however many others are seen once.
 */

/** A key with its rate. */
export interface HotKey {
  readonly key: string;
  /** Sightings a millisecond. */
  readonly rate: number;
}

/** Decayed rates of a bounded number of keys. Times are milliseconds on one monotonic clock. */
export interface HeatSketch {
  /** Counts one sighting. */
  readonly note: (key: string, now: number) => void;
  /** @returns Sightings a millisecond; 0 for a key that is not kept. */
  readonly rate: (key: string, now: number) => number;
  readonly has: (key: string) => boolean;
  /** @returns The keys of highest rate, hottest first. */
  readonly hottest: (count: number, now: number) => readonly HotKey[];
  readonly size: () => number;
}

/** How much a sketch keeps and how fast it forgets. */
export interface HeatSketchLimits {
  readonly maximumKeys: number;
  /** Time constant of the decay, milliseconds. */
  readonly decayTime: number;
  /** A key is taken to have been seen for at least this long, milliseconds: one sighting is no rate. */
  readonly shortestWindow: number;
}

interface Counter {
  count: number;
  updatedAt: number;
  readonly firstAt: number;
}

/** Least recently seen keys that are compared when one must go. */
const evictionCandidates = 8;

/** Makes an empty sketch. */
export const createHeatSketch = ({
  maximumKeys,
  decayTime: memory,
  shortestWindow,
}: HeatSketchLimits): HeatSketch => {
  /** The least recently seen come first. */
  const counters = new Map<string, Counter>();

  const countAt = (counter: Counter, now: number): number =>
    counter.count * Math.exp((counter.updatedAt - now) / memory);

  /** The first sighting opens the window in which the others are counted. */
  const rateOf = (counter: Counter, now: number): number => {
    const window = Math.max(shortestWindow, now - counter.firstAt);
    const first = Math.exp((counter.firstAt - now) / memory);
    const others = Math.max(0, countAt(counter, now) - first);
    return others / (memory * (1 - Math.exp(-window / memory)));
  };

  const evict = (now: number): void => {
    let coldest: string | undefined;
    let least = Number.POSITIVE_INFINITY;
    let compared = 0;
    for (const [key, counter] of counters) {
      const count = countAt(counter, now);
      if (count < least) {
        least = count;
        coldest = key;
      }
      compared += 1;
      if (compared === evictionCandidates) break;
    }
    if (coldest !== undefined) counters.delete(coldest);
  };

  const note = (key: string, now: number): void => {
    const known = counters.get(key);
    if (known === undefined) {
      if (counters.size >= maximumKeys) evict(now);
      counters.set(key, { count: 1, updatedAt: now, firstAt: now });
      return;
    }
    known.count = countAt(known, now) + 1;
    known.updatedAt = now;
    counters.delete(key);
    counters.set(key, known);
  };

  return {
    note,
    rate: (key, now) => {
      const counter = counters.get(key);
      return counter === undefined ? 0 : rateOf(counter, now);
    },
    has: (key) => counters.has(key),
    hottest: (count, now) =>
      [...counters]
        .map(([key, counter]) => ({ key, rate: rateOf(counter, now) }))
        .sort((left, right) => right.rate - left.rate)
        .slice(0, count),
    size: () => counters.size,
  };
};
