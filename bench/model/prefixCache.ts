/**
 * LRU prefix cache of a simulated engine, with one unit for each level of a prompt.
 * A level is a hit only if all its parents are cached too.
 */
import type { PrefixLevel } from "../../src/protocol/types.ts";

/** A change to one unit, or to all of them (`cleared`, with an empty key). */
export interface UnitEvent {
  readonly kind: "stored" | "evicted" | "cleared";
  readonly key: string;
}

/** A cached unit. */
export interface CachedUnit {
  readonly key: string;
  readonly tokens: number;
}

/** A prefix cache whose size is limited in tokens. */
export interface PrefixCache {
  readonly has: (key: string) => boolean;
  /** Number of leading levels that are cached. Does not change the order of use. */
  readonly hitLevels: (levels: readonly PrefixLevel[]) => number;
  /** Stores a level, or marks it as used; it cannot be evicted until it has been unpinned as often as pinned. */
  readonly pin: (levels: readonly PrefixLevel[], index: number) => void;
  readonly unpin: (key: string) => void;
  /** Adds tokens, such as those of an answer, to a cached unit. */
  readonly grow: (key: string, tokens: number) => void;
  readonly clear: () => void;
  /** Evicts all units that are not pinned. */
  readonly dropUnpinned: () => void;
  /** The units that storing this many more tokens would evict. Changes nothing. */
  readonly wouldEvict: (tokens: number) => readonly CachedUnit[];
  readonly usedTokens: () => number;
  /** Tokens that cannot be evicted. */
  readonly pinnedTokens: () => number;
  readonly size: () => number;
}

interface Unit {
  tokens: number;
  pins: number;
}

const unitTokens = (levels: readonly PrefixLevel[], index: number): number =>
  (levels[index]?.tokens ?? 0) - (levels[index - 1]?.tokens ?? 0);

/**
 * Creates an empty cache.
 *
 * @param capacity - Tokens; only pinned units can exceed it.
 * @param onEvent - Called for every change.
 */
export const createPrefixCache = (
  capacity: number,
  onEvent: (event: UnitEvent) => void = () => undefined,
): PrefixCache => {
  /** In order of use, the least recently used first. */
  const units = new Map<string, Unit>();
  let used = 0;
  let pinned = 0;

  const touch = (key: string, unit: Unit): void => {
    units.delete(key);
    units.set(key, unit);
  };

  const evictExcess = (): void => {
    for (const [key, unit] of units) {
      if (used <= capacity) return;
      if (unit.pins > 0) continue;
      units.delete(key);
      used -= unit.tokens;
      onEvent({ kind: "evicted", key });
    }
  };

  const store = (key: string, tokens: number): Unit => {
    const unit = { tokens, pins: 0 };
    units.set(key, unit);
    used += tokens;
    onEvent({ kind: "stored", key });
    return unit;
  };

  const hitLevels = (levels: readonly PrefixLevel[]): number => {
    const missing = levels.findIndex(({ key }) => !units.has(key));
    return missing < 0 ? levels.length : missing;
  };

  return {
    has: (key) => units.has(key),
    hitLevels,
    pin: (levels, index) => {
      const key = levels[index]?.key ?? "";
      const unit = units.get(key) ?? store(key, unitTokens(levels, index));
      if (unit.pins === 0) pinned += unit.tokens;
      unit.pins += 1;
      // Parents are marked as used after their children, so that they are evicted after them.
      for (let parent = index; parent >= 0; parent -= 1) {
        const above = levels[parent]?.key ?? "";
        const ancestor = units.get(above);
        if (ancestor !== undefined) touch(above, ancestor);
      }
      evictExcess();
    },
    unpin: (key) => {
      const unit = units.get(key);
      if (unit === undefined) return;
      unit.pins -= 1;
      if (unit.pins === 0) pinned -= unit.tokens;
      evictExcess();
    },
    grow: (key, tokens) => {
      const unit = units.get(key);
      if (unit === undefined) return;
      unit.tokens += tokens;
      used += tokens;
      if (unit.pins > 0) pinned += tokens;
      evictExcess();
    },
    clear: () => {
      units.clear();
      used = 0;
      pinned = 0;
      onEvent({ kind: "cleared", key: "" });
    },
    dropUnpinned: () => {
      for (const [key, unit] of units) {
        if (unit.pins > 0) continue;
        units.delete(key);
        used -= unit.tokens;
        onEvent({ kind: "evicted", key });
      }
    },
    wouldEvict: (tokens) => {
      const evicted: CachedUnit[] = [];
      let excess = used + tokens - capacity;
      for (const [key, unit] of units) {
        if (excess <= 0) break;
        if (unit.pins > 0) continue;
        evicted.push({ key, tokens: unit.tokens });
        excess -= unit.tokens;
      }
      return evicted;
    },
    usedTokens: () => used,
    pinnedTokens: () => pinned,
    size: () => units.size,
  };
};
