import { describe, it } from "node:test";
import { setImmediate as settled } from "node:timers/promises";
import { expect } from "earl";
import type { CacheChanges, CacheStore } from "../../protocol/forwarding/types.ts";
import { createManualClock } from "../manualClock.ts";
import { createCacheHolders } from "./cacheHolders.ts";
import { followCacheStores } from "./cacheStoreFollower.ts";
import { cacheStorePollInterval } from "./constants.ts";
import { toNetworkAddress } from "../../protocol/networkAddress.ts";

const store: CacheStore = {
  address: toNetworkAddress("10.0.0.9:8000"),
  dataCentre: "here",
  linkMegabits: 360_000,
};

const prompt = {
  model: "m",
  tokens: 1_000,
  answerTokens: 10,
  parts: [
    { id: "rules", tokens: 900 },
    { id: "own", tokens: 100 },
  ],
};

const answerOf = (incarnation: number, next: number, isKept = true): CacheChanges => ({
  incarnation,
  next,
  changes: [{ isStored: isKept, salt: "s", part: "rules" }],
});

const create = () => {
  const clock = createManualClock();
  const holders = createCacheHolders({ clock, computedTokens: () => 0, memoryTokens: () => 1_000 });
  const answers: (CacheChanges | undefined)[] = [];
  const sinceNumbers: number[] = [];
  const follower = followCacheStores({
    configuredStores: () => [store],
    client: {
      readCacheChanges: (_, since) => {
        sinceNumbers.push(since);
        const answer = answers.shift();
        return answer === undefined ? Promise.reject(new Error("unreachable")) : Promise.resolve(answer);
      },
    },
    holders,
    clock,
    intervalFactor: () => 1,
  });
  /** Lets the follower poll once and answers it; without an answer the poll fails. */
  const pollOnce = async (answer: CacheChanges | undefined): Promise<void> => {
    answers.push(answer);
    clock.advanceTo(sinceNumbers.length === 0 ? 0 : clock.monotonic() + cacheStorePollInterval);
    await settled();
  };
  const saved = (): number | undefined => holders.find("s", prompt).get(store.address)?.readyTokens;
  return { follower, pollOnce, saved, sinceNumbers };
};

describe("following a cache store", () => {
  it("keeps what the store has reported, however much time passes", async () => {
    const { follower, pollOnce, saved, sinceNumbers } = create();
    expect(follower.findStore(1)).toEqual(undefined);
    await pollOnce(answerOf(7, 5));
    expect([follower.findStore(1), saved()]).toEqual([store, 900]);
    for (let poll = 0; poll < 100; poll += 1) await pollOnce({ incarnation: 7, next: 5, changes: [] });
    expect(saved()).toEqual(900);
    await pollOnce(answerOf(7, 6, false));
    expect([saved(), sinceNumbers[1], sinceNumbers.at(-1)]).toEqual([undefined, 5, 5]);
  });

  it("uses no store that doesn't answer", async () => {
    const { follower, pollOnce } = create();
    await pollOnce(answerOf(7, 5));
    await pollOnce(undefined);
    expect(follower.findStore(1)).toEqual(undefined);
    await pollOnce(answerOf(7, 5));
    expect(follower.findStore(1)).toEqual(store);
  });

  it("forgets the contents of a store that restarted empty", async () => {
    const { pollOnce, saved, sinceNumbers } = create();
    await pollOnce(answerOf(7, 5));
    await pollOnce({ incarnation: 8, next: 1, changes: [] });
    expect(saved()).toEqual(undefined);
    await pollOnce(answerOf(8, 2));
    expect([saved(), sinceNumbers.at(-1)]).toEqual([900, 0]);
  });
});

describe("following several cache stores", () => {
  const stores = ["10.0.0.8:8000", "10.0.0.9:8000"].map((address) => ({
    ...store,
    address: toNetworkAddress(address),
  }));
  const parts = Array.from({ length: 1_000 }, (_, index) => Math.imul(index + 1, 0x9e3779b1) >>> 0);

  const follow = () => {
    const clock = createManualClock();
    const holders = createCacheHolders({ clock, computedTokens: () => 0, memoryTokens: () => 1_000 });
    const unreachable = new Set<string>();
    const state = { configured: stores };
    const follower = followCacheStores({
      configuredStores: () => state.configured,
      client: {
        readCacheChanges: ({ address }) =>
          unreachable.has(address)
            ? Promise.reject(new Error("unreachable"))
            : Promise.resolve({ incarnation: 1, next: 0, changes: [] }),
      },
      holders,
      clock,
      intervalFactor: () => 1,
    });
    const poll = async (): Promise<void> => {
      clock.advanceTo(clock.monotonic() + cacheStorePollInterval);
      await settled();
    };
    const belongingTo = (address: string): number =>
      parts.filter((part) => follower.findStore(part)?.address === address).length;
    return { unreachable, state, poll, belongingTo, follower };
  };

  it("assigns each part to one store, about the same number to each", async () => {
    const { poll, belongingTo } = follow();
    await poll();
    const counts = stores.map(({ address }) => belongingTo(address));
    expect(counts.reduce((sum, count) => sum + count, 0)).toEqual(parts.length);
    expect(Math.min(...counts)).toBeGreaterThan(400);
  });

  it("moves the parts of an unreachable store to the other, and back", async () => {
    const { unreachable, poll, belongingTo, follower } = follow();
    await poll();
    const before = parts.map((part) => follower.findStore(part)?.address);
    unreachable.add("10.0.0.8:8000");
    await poll();
    expect(belongingTo("10.0.0.9:8000")).toEqual(parts.length);
    unreachable.clear();
    await poll();
    expect(parts.map((part) => follower.findStore(part)?.address)).toEqual(before);
  });

  it("drops a store that was removed from the configuration", async () => {
    const { state, poll, belongingTo } = follow();
    await poll();
    state.configured = stores.slice(1);
    await poll();
    expect(belongingTo("10.0.0.9:8000")).toEqual(parts.length);
  });
});
