import { describe, it } from "node:test";
import { expect } from "earl";
import { createBoundedMap } from "./boundedMap.ts";

describe("createRecentMap", () => {
  it("removes the entry that was set least recently", () => {
    const map = createBoundedMap<number>(2);
    for (const key of ["a", "b", "a", "c"]) map.set(key, 1);
    expect(["a", "b", "c"].map(map.has)).toEqual([true, false, true]);
  });
});
