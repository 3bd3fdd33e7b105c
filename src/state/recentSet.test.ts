import { describe, it } from "node:test";
import { expect } from "earl";
import { createRecentSet } from "./recentSet.ts";

describe("createRecentSet", () => {
  it("drops the key that was added longest ago", () => {
    const set = createRecentSet(2);
    for (const key of ["a", "b", "a", "c"]) set.add(key);
    expect(["a", "b", "c"].map(set.has)).toEqual([true, false, true]);
  });
});
