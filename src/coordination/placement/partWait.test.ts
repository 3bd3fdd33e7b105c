import { describe, it } from "node:test";
import { setImmediate as settled } from "node:timers/promises";
import { expect } from "earl";
import { createManualClock } from "../manualClock.ts";
import { createCacheHolders } from "../forwarding/cacheHolders.ts";
import { partWaitShare } from "../forwarding/constants.ts";
import { createPartWait } from "./partWait.ts";

const create = () => {
  const clock = createManualClock();
  const holders = createCacheHolders({ clock, computedTokens: () => 0, memoryTokens: () => 1_000 });
  const wait = createPartWait({ holders, clock, share: partWaitShare });
  const begin = (signal = new AbortController().signal) => {
    const state = { isOver: false };
    void wait(17, 800, signal).then(() => (state.isOver = true));
    return state;
  };
  return { clock, holders, begin };
};

describe("waiting for a part that is being computed", () => {
  it("ends for all waiting requests as soon as a peer announces the part as ready", async () => {
    const { holders, begin } = create();
    const waits = [begin(), begin()];
    holders.notePart(17, "engine", false);
    await settled();
    expect(waits.map(({ isOver }) => isOver)).toEqual([false, false]);
    holders.notePart(17, "engine", true);
    await settled();
    expect(waits.map(({ isOver }) => isOver)).toEqual([true, true]);
  });

  it("ends after its time limit if the part never becomes ready", async () => {
    const { clock, begin } = create();
    const wait = begin();
    clock.advanceTo(800 * partWaitShare + 1);
    await settled();
    expect(wait.isOver).toEqual(true);
  });

  it("ends when the caller leaves", async () => {
    const { begin } = create();
    const caller = new AbortController();
    const wait = begin(caller.signal);
    caller.abort();
    await settled();
    expect(wait.isOver).toEqual(true);
  });
});
