/**
 * Estimates how often prefixes are requested, in bounded memory: exponentially decayed counts of the most frequent
 * and most recent keys.
 *
 * A full sketch evicts the key with the lowest count among its least recently seen keys, so a frequent key stays
 * however many other keys are seen once.
 */

export interface HotKey {
  readonly key: string;
  /** Occurrences per millisecond. */
  readonly rate: number;
}

/** Decayed rates of a bounded number of keys. Times are milliseconds on one monotonic clock. */
export interface HeatSketch {
  /** Counts one occurrence of a key. */
  readonly note: (key: string, now: number) => void;
  /** @returns Occurrences per millisecond; 0 for a key that is not in the sketch. */
  readonly rate: (key: string, now: number) => number;
  readonly has: (key: string) => boolean;
  /** @returns The keys with the highest rates, highest first. */
  readonly hottest: (count: number, now: number) => readonly HotKey[];
  readonly size: () => number;
}

/** Size and decay of a sketch. */
export interface HeatSketchLimits {
  readonly maximumKeys: number;
  /** Time constant of the exponential decay, milliseconds. */
  readonly decayTime: number;
  /** Shortest window over which a rate is computed, milliseconds, so that a new key gets no excessive rate. */
  readonly shortestWindow: number;
}

interface Counter {
  count: number;
  updatedAt: number;
  readonly firstAt: number;
}

/** Least recently seen keys that are compared when one is evicted. */
const evictionCandidates = 8;

export const createHeatSketch = ({
  maximumKeys,
  decayTime: memory,
  shortestWindow,
}: HeatSketchLimits): HeatSketch => {
  /** The least recently seen keys come first. */
  const counters = new Map<string, Counter>();

  const countAt = (counter: Counter, now: number): number =>
    counter.count * Math.exp((counter.updatedAt - now) / memory);

  /** The first occurrence starts the window and is not counted in it. */
  const rateOf = (counter: Counter, now: number): number => {
    const window = Math.max(shortestWindow, now - counter.firstAt);
    const first = Math.exp((counter.firstAt - now) / memory);
    const others = Math.max(0, countAt(counter, now) - first);
    return others / (memory * (1 - Math.exp(-window / memory)));
  };

  const evict = (now: number): void => {
    let leastUsedKey: string | undefined;
    let lowestCount = Number.POSITIVE_INFINITY;
    let compared = 0;
    for (const [key, counter] of counters) {
      const count = countAt(counter, now);
      if (count < lowestCount) {
        lowestCount = count;
        leastUsedKey = key;
      }
      compared += 1;
      if (compared === evictionCandidates) break;
    }
    if (leastUsedKey !== undefined) counters.delete(leastUsedKey);
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
