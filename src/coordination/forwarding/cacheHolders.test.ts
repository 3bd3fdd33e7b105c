import { describe, it } from "node:test";
import { expect } from "earl";
import { createManualClock } from "../manualClock.ts";
import { createCacheHolders } from "./cacheHolders.ts";

const prompt = {
  model: "m",
  tokens: 1_460,
  answerTokens: 80,
  parts: [
    { id: "rules", tokens: 800 },
    { id: "course", tokens: 410 },
    { id: "own", tokens: 250 },
  ],
};

const create = (memory = 10_000) => {
  const clock = createManualClock();
  const computed = new Map<string, number>();
  const holders = createCacheHolders({
    clock,
    computedTokens: (id) => computed.get(id) ?? 0,
    memoryTokens: () => memory,
  });
  return { clock, computed, holders };
};

describe("beliefs about cached parts", () => {
  it("are about the parts that other requests may have, under one salt", () => {
    const { holders } = create();
    holders.note("a", prompt, "one", true);
    expect(holders.find("a", prompt).get("one")?.tokens).toEqual(1_210);
    expect(holders.find("b", prompt).size).toEqual(0);
    const sibling = { ...prompt, parts: [prompt.parts[0] ?? { id: "", tokens: 0 }, { id: "x", tokens: 1 }] };
    expect(holders.find("a", sibling).get("one")?.tokens).toEqual(800);
  });

  it("end when as much was computed there as the memory holds", () => {
    const { holders, computed } = create(10_000);
    holders.note("a", prompt, "one", true);
    computed.set("one", 9_999);
    expect(holders.find("a", prompt).size).toEqual(1);
    computed.set("one", 10_000);
    expect(holders.find("a", prompt).size).toEqual(0);
  });

  it("end with their replica", () => {
    const { holders } = create();
    holders.note("a", prompt, "one", true);
    holders.forget("one");
    expect(holders.find("a", prompt).size).toEqual(0);
  });

  it("are news once, and only when the part can be copied", () => {
    const { holders } = create();
    expect(holders.note("a", prompt, "one", false)).toEqual(undefined);
    expect(holders.find("a", prompt).get("one")?.isReady).toEqual(false);
    const key = holders.note("a", prompt, "one", true);
    expect(typeof key).toEqual("number");
    expect(holders.note("a", prompt, "one", true)).toEqual(undefined);
    const { holders: peer } = create();
    peer.noteKey(key ?? 0, "one");
    expect(peer.find("a", prompt).get("one")).toEqual({ tokens: 1_210, usedAt: 0, isReady: true });
  });
});
