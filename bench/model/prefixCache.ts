/**
 * An engine's prefix cache with one unit for each level of a prompt, evicting the least recently used unit.
 * A level is a hit only if all its parents are cached too.
 */
import type { PrefixLevel } from "../../src/protocol/types.ts";

/** Something that happened to one unit, or to all of them (`cleared`). */
export interface UnitEvent {
  readonly kind: "stored" | "evicted" | "cleared";
  readonly key: string;
}

/** A unit as it is held. */
export interface CachedUnit {
  readonly key: string;
  readonly tokens: number;
}

/** A cache of limited size. */
export interface PrefixCache {
  readonly has: (key: string) => boolean;
  /** How many levels from the first on are cached. Changes nothing. */
  readonly hitLevels: (levels: readonly PrefixLevel[]) => number;
  /** Stores a level, or marks it as used; it stays until it has been unpinned as often as pinned. */
  readonly pin: (levels: readonly PrefixLevel[], index: number) => void;
  readonly unpin: (key: string) => void;
  /** Adds the tokens of an answer to the unit of its prompt. */
  readonly grow: (key: string, tokens: number) => void;
  readonly clear: () => void;
  /** Forgets what is not pinned. */
  readonly dropUnpinned: () => void;
  /** The units that would have to go for so many more tokens. Changes nothing. */
  readonly wouldEvict: (tokens: number) => readonly CachedUnit[];
  readonly usedTokens: () => number;
  /** Tokens that can't yield. */
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
 * Makes an empty cache.
 *
 * @param capacity - Tokens; exceeded only by what is pinned.
 * @param tell - Told of every change.
 */
export const createPrefixCache = (
  capacity: number,
  tell: (event: UnitEvent) => void = () => undefined,
): PrefixCache => {
  /** In the order of use, the least recent first. */
  const units = new Map<string, Unit>();
  let used = 0;
  let pinned = 0;

  const touch = (key: string, unit: Unit): void => {
    units.delete(key);
    units.set(key, unit);
  };

  const evict = (): void => {
    for (const [key, unit] of units) {
      if (used <= capacity) return;
      if (unit.pins > 0) continue;
      units.delete(key);
      used -= unit.tokens;
      tell({ kind: "evicted", key });
    }
  };

  const store = (key: string, tokens: number): Unit => {
    const unit = { tokens, pins: 0 };
    units.set(key, unit);
    used += tokens;
    tell({ kind: "stored", key });
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
        const held = units.get(above);
        if (held !== undefined) touch(above, held);
      }
      evict();
    },
    unpin: (key) => {
      const unit = units.get(key);
      if (unit === undefined) return;
      unit.pins -= 1;
      if (unit.pins === 0) pinned -= unit.tokens;
      evict();
    },
    grow: (key, tokens) => {
      const unit = units.get(key);
      if (unit === undefined) return;
      unit.tokens += tokens;
      used += tokens;
      if (unit.pins > 0) pinned += tokens;
      evict();
    },
    clear: () => {
      units.clear();
      used = 0;
      pinned = 0;
      tell({ kind: "cleared", key: "" });
    },
    dropUnpinned: () => {
      for (const [key, unit] of units) {
        if (unit.pins > 0) continue;
        units.delete(key);
        used -= unit.tokens;
        tell({ kind: "evicted", key });
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
