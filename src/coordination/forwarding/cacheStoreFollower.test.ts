import { describe, it } from "node:test";
import { setImmediate as settled } from "node:timers/promises";
import { expect } from "earl";
import type { CacheChanges, CacheStore } from "../../protocol/forwarding/types.ts";
import { createManualClock } from "../manualClock.ts";
import { createCacheHolders } from "./cacheHolders.ts";
import { followCacheStores } from "./cacheStoreFollower.ts";
import { cacheStoreInterval } from "./constants.ts";

const store: CacheStore = { address: "10.0.0.9:8000", dataCentre: "here", linkMegabits: 360_000 };

const prompt = {
  model: "m",
  tokens: 1_000,
  answerTokens: 10,
  parts: [
    { id: "rules", tokens: 900 },
    { id: "own", tokens: 100 },
  ],
};

const told = (incarnation: number, next: number, isKept = true): CacheChanges => ({
  incarnation,
  next,
  changes: [{ isStored: isKept, salt: "s", part: "rules" }],
});

const create = () => {
  const clock = createManualClock();
  const holders = createCacheHolders({ clock, computedTokens: () => 0, memoryTokens: () => 1_000 });
  const answers: (CacheChanges | undefined)[] = [];
  const asked: number[] = [];
  const follower = followCacheStores({
    configuredStores: () => [store],
    client: {
      readCacheChanges: (_, since) => {
        asked.push(since);
        const answer = answers.shift();
        return answer === undefined ? Promise.reject(new Error("silent")) : Promise.resolve(answer);
      },
    },
    holders,
    clock,
    intervalFactor: () => 1,
  });
  /** Lets the follower ask once. */
  const ask = async (answer: CacheChanges | undefined): Promise<void> => {
    answers.push(answer);
    clock.advanceTo(asked.length === 0 ? 0 : clock.monotonic() + cacheStoreInterval);
    await settled();
  };
  const saved = (): number | undefined => holders.find("s", prompt).get(store.address)?.readyTokens;
  return { follower, ask, saved, asked };
};

describe("following a store of prompt parts", () => {
  it("believes what the store tells, whatever time passes", async () => {
    const { follower, ask, saved, asked } = create();
    expect(follower.findStore(1)).toEqual(undefined);
    await ask(told(7, 5));
    expect([follower.findStore(1), saved()]).toEqual([store, 900]);
    for (let turn = 0; turn < 100; turn += 1) await ask({ incarnation: 7, next: 5, changes: [] });
    expect(saved()).toEqual(900);
    await ask(told(7, 6, false));
    expect([saved(), asked[1], asked.at(-1)]).toEqual([undefined, 5, 5]);
  });

  it("uses no store that doesn't answer", async () => {
    const { follower, ask } = create();
    await ask(told(7, 5));
    await ask(undefined);
    expect(follower.findStore(1)).toEqual(undefined);
    await ask(told(7, 5));
    expect(follower.findStore(1)).toEqual(store);
  });

  it("believes nothing of a store that came back empty", async () => {
    const { ask, saved, asked } = create();
    await ask(told(7, 5));
    await ask({ incarnation: 8, next: 1, changes: [] });
    expect(saved()).toEqual(undefined);
    await ask(told(8, 2));
    expect([saved(), asked.at(-1)]).toEqual([900, 0]);
  });
});

describe("following several stores of prompt parts", () => {
  const stores = ["10.0.0.8:8000", "10.0.0.9:8000"].map((address) => ({ ...store, address }));
  const parts = Array.from({ length: 1_000 }, (_, index) => Math.imul(index + 1, 0x9e3779b1) >>> 0);

  const follow = () => {
    const clock = createManualClock();
    const holders = createCacheHolders({ clock, computedTokens: () => 0, memoryTokens: () => 1_000 });
    const silent = new Set<string>();
    const state = { configured: stores };
    const follower = followCacheStores({
      configuredStores: () => state.configured,
      client: {
        readCacheChanges: ({ address }) =>
          silent.has(address)
            ? Promise.reject(new Error("silent"))
            : Promise.resolve({ incarnation: 1, next: 0, changes: [] }),
      },
      holders,
      clock,
      intervalFactor: () => 1,
    });
    const turn = async (): Promise<void> => {
      clock.advanceTo(clock.monotonic() + cacheStoreInterval);
      await settled();
    };
    const belongingTo = (address: string): number =>
      parts.filter((part) => follower.findStore(part)?.address === address).length;
    return { silent, state, turn, belongingTo, follower };
  };

  it("gives each part to one of them, about as many to each", async () => {
    const { turn, belongingTo } = follow();
    await turn();
    const counts = stores.map(({ address }) => belongingTo(address));
    expect(counts.reduce((sum, count) => sum + count, 0)).toEqual(parts.length);
    expect(Math.min(...counts)).toBeGreaterThan(400);
  });

  it("moves the parts of one that is silent to the other, and back", async () => {
    const { silent, turn, belongingTo, follower } = follow();
    await turn();
    const before = parts.map((part) => follower.findStore(part)?.address);
    silent.add("10.0.0.8:8000");
    await turn();
    expect(belongingTo("10.0.0.9:8000")).toEqual(parts.length);
    silent.clear();
    await turn();
    expect(parts.map((part) => follower.findStore(part)?.address)).toEqual(before);
  });

  it("lets go of one that the configuration names no more", async () => {
    const { state, turn, belongingTo } = follow();
    await turn();
    state.configured = stores.slice(1);
    await turn();
    expect(belongingTo("10.0.0.9:8000")).toEqual(parts.length);
  });
});
