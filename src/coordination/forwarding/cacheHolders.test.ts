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

describe("holders of cached prompt parts", () => {
  it("are tracked for the parts that other requests may share, under one salt", () => {
    const { holders } = create();
    holders.notePrompt("a", prompt, "one", true);
    expect(holders.find("a", prompt).get("one")?.tokens).toEqual(1_210);
    expect(holders.find("b", prompt).size).toEqual(0);
    const sibling = { ...prompt, parts: [prompt.parts[0] ?? { id: "", tokens: 0 }, { id: "x", tokens: 1 }] };
    expect(holders.find("a", sibling).get("one")?.tokens).toEqual(800);
  });

  it("expire once as many tokens were computed there as the memory holds", () => {
    const { holders, computed } = create(10_000);
    holders.notePrompt("a", prompt, "one", true);
    computed.set("one", 9_999);
    expect(holders.find("a", prompt).size).toEqual(1);
    computed.set("one", 10_000);
    expect(holders.find("a", prompt).size).toEqual(0);
  });

  it("are removed with their replica", () => {
    const { holders } = create();
    holders.notePrompt("a", prompt, "one", true);
    holders.forget("one");
    expect(holders.find("a", prompt).size).toEqual(0);
  });

  it("are announced to peers for every part, and copied from only once the part is computed", () => {
    const { holders } = create();
    const { holders: peer } = create();
    const announce = (isReady: boolean): void => {
      for (const key of holders.notePrompt("a", prompt, "one", isReady)) peer.notePart(key, "one", isReady);
    };
    announce(false);
    const computing = {
      tokens: 1_210,
      readyTokens: 0,
      computingKey: holders.deepestKey("a", prompt),
      usedAt: 0,
    };
    expect(holders.find("a", prompt).get("one")).toEqual(computing);
    expect(peer.find("a", prompt).get("one")).toEqual(computing);
    announce(true);
    expect(peer.find("a", prompt).get("one")).toEqual({
      tokens: 1_210,
      readyTokens: 1_210,
      computingKey: undefined,
      usedAt: 0,
    });
    const sibling = { ...prompt, parts: [prompt.parts[0] ?? { id: "", tokens: 0 }, { id: "x", tokens: 1 }] };
    expect(peer.find("a", sibling).get("one")?.readyTokens).toEqual(800);
  });

  it("still offer the ready parts for copying while a deeper one is being computed", () => {
    const { holders } = create();
    const sibling = { ...prompt, parts: [prompt.parts[0], { id: "x", tokens: 5 }, { id: "own", tokens: 1 }] };
    holders.notePrompt("a", sibling as typeof prompt, "one", true);
    holders.notePrompt("a", prompt, "one", false);
    expect(holders.find("a", prompt).get("one")).toEqual({
      tokens: 1_210,
      readyTokens: 800,
      computingKey: holders.deepestKey("a", prompt),
      usedAt: 0,
    });
  });

  it("expire if a prompt was never computed", () => {
    const { holders, clock } = create();
    holders.notePrompt("a", prompt, "one", false);
    clock.advanceTo(6_000);
    expect(holders.find("a", prompt).size).toEqual(0);
  });
});
