import { describe, it } from "node:test";
import { expect } from "earl";
import type { CacheStore } from "../../protocol/forwarding/types.ts";
import { createManualClock } from "../manualClock.ts";
import { saveBurst, saveLinkShare } from "../forwarding/constants.ts";
import { defaultLoadPolicy } from "../forwarding/loadPolicy.ts";
import { createPartSaving } from "./partSaving.ts";
import type { SaveCandidate } from "./partSaving.ts";
import { toNetworkAddress } from "../../protocol/networkAddress.ts";

const store: CacheStore = {
  address: toNetworkAddress("10.0.0.9:8000"),
  dataCentre: "here",
  linkMegabits: 360_000,
};

const shared = (fields: Partial<SaveCandidate> = {}): SaveCandidate => ({
  store,
  wasUsed: false,
  isCached: false,
  isSaved: false,
  computingTime: 150,
  share: 0.7,
  transferTime: 67,
  ...fields,
});

const create = (routers = 1, stores = 1) => {
  const clock = createManualClock();
  return {
    clock,
    saving: createPartSaving({
      clock,
      policy: defaultLoadPolicy,
      routerCount: () => routers,
      storeCount: () => stores,
    }),
  };
};

describe("saving shared parts", () => {
  it("saves nothing while memory holds the shared parts", () => {
    const { saving } = create();
    for (let use = 0; use < 50; use += 1) {
      expect(saving.chooseStore(shared())).toEqual(undefined);
      expect(saving.chooseStore(shared({ wasUsed: true, isCached: true }))).toEqual(undefined);
    }
  });

  it("saves lost parts, and all parts on first use once losses are frequent", () => {
    const { saving, clock } = create();
    const lost = { wasUsed: true, isCached: false };
    expect(saving.chooseStore(shared(lost))).toEqual(store);
    clock.advanceTo(2_000);
    expect(saving.chooseStore(shared())).toEqual(undefined);
    for (let use = 0; use < 5; use += 1) saving.chooseStore(shared({ ...lost, isSaved: true }));
    expect(saving.chooseStore(shared())).toEqual(store);
  });

  it("skips parts that are saved, cheap to compute, a small share of the prompt, or of superseded weights", () => {
    const { saving } = create();
    const lost = { wasUsed: true, isCached: false };
    for (const fields of [{ isSaved: true }, { computingTime: 5 }, { share: 0.3 }, { store: undefined }]) {
      expect(saving.chooseStore(shared({ ...lost, ...fields }))).toEqual(undefined);
    }
  });

  for (const stores of [1, 3]) {
    it(`takes no more than its share of the time of ${stores} links, however much is lost`, () => {
      const { clock, saving } = create(4, stores);
      let taken = 0;
      const seconds = 20;
      for (let at = 0; at < seconds * 1_000; at += 10) {
        clock.advanceTo(at);
        if (saving.chooseStore(shared({ wasUsed: true })) !== undefined) taken += 67;
      }
      const limit = saveBurst + (seconds * 1_000 * saveLinkShare * stores) / 4 + 67;
      expect(taken).toBeLessThanOrEqual(limit);
      expect(taken).toBeGreaterThan(limit / 2);
    });
  }
});
