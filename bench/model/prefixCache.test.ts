import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import type { PrefixLevel } from "../../src/protocol/types.ts";
import { createPrefixCache } from "./prefixCache.ts";

/** Three nested levels of one prefix tree, 10 tokens each. */
const levelsOf = (member: number, course: number): readonly PrefixLevel[] => [
  { key: "rules", tokens: 10 },
  { key: `member ${member}`, tokens: 20 },
  { key: `member ${member} course ${course}`, tokens: 30 },
];

describe("createPrefixCache", () => {
  it("stays within its size, evicts children before parents, and reports what it evicts", () => {
    const index = fc.integer({ min: 0, max: 3 });
    fc.assert(
      fc.property(fc.array(fc.tuple(index, index), { maxLength: 40 }), (prompts) => {
        const cachedKeys = new Set<string>();
        const cache = createPrefixCache(80, ({ kind, key }) => {
          if (kind === "stored") cachedKeys.add(key);
          else cachedKeys.delete(key);
        });
        for (const [member, course] of prompts) {
          const levels = levelsOf(member, course);
          levels.forEach((_, level) => cache.pin(levels, level));
          expect(cache.hitLevels(levels)).toEqual(3);
          for (const { key } of levels) cache.unpin(key);
          expect(cache.usedTokens()).toEqual(cachedKeys.size * 10);
          expect(cache.usedTokens() <= 80).toEqual(true);
        }
        for (const key of cachedKeys) {
          const parent = /^(member \d) course/.exec(key)?.[1];
          if (parent !== undefined) expect(cachedKeys.has(parent)).toEqual(true);
        }
      }),
      { seed: 20261202 },
    );
  });

  it("counts a level as a hit only if its parents are cached", () => {
    const cache = createPrefixCache(100);
    cache.pin(levelsOf(1, 1), 2);
    expect(cache.hitLevels(levelsOf(1, 1))).toEqual(0);
  });

  it("evicts nothing that is pinned", () => {
    const cache = createPrefixCache(10);
    cache.pin(levelsOf(1, 1), 0);
    cache.pin(levelsOf(1, 1), 1);
    expect(cache.hitLevels(levelsOf(1, 1))).toEqual(2);
    cache.unpin("member 1");
    expect(cache.hitLevels(levelsOf(1, 1))).toEqual(1);
  });
});
