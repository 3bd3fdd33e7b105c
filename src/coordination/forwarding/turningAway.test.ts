import { describe, it } from "node:test";
import { expect } from "earl";
import { latenessTurnedAway, longestComeBackShare } from "./constants.ts";
import { createPatienceMemory } from "./patienceMemory.ts";
import { turnAway } from "./turningAway.ts";

const outlook = { wait: 100, objective: 800, left: 6_000, hasReturned: false };

describe("turning requests away", () => {
  it("lets in what is answered in time or a little late", () => {
    expect(turnAway(outlook, latenessTurnedAway, 0.5)).toEqual(undefined);
    expect(turnAway({ ...outlook, wait: 1_100 }, latenessTurnedAway, 0.5)).toEqual(undefined);
  });

  it("tells a first try that is late to come back when the queue has shrunk, within what it still waits", () => {
    const comeBack = turnAway({ ...outlook, wait: 1_500 }, latenessTurnedAway, 0.5);
    expect(comeBack).toEqual(1_100);
    expect(turnAway({ ...outlook, wait: 60_000 }, latenessTurnedAway, 0.5)).toEqual(
      6_000 * longestComeBackShare,
    );
    expect(
      turnAway({ ...outlook, wait: 1_500 }, latenessTurnedAway, 0) ===
        turnAway({ ...outlook, wait: 1_500 }, latenessTurnedAway, 1),
    ).toEqual(false);
  });

  it("lets a caller that came back in as long as its answer can reach it", () => {
    const returned = { ...outlook, left: 4_000, hasReturned: true };
    expect(turnAway({ ...returned, wait: 3_000 }, latenessTurnedAway, 0.5)).toEqual(undefined);
    expect(turnAway({ ...returned, wait: 3_900 }, latenessTurnedAway, 0.5) !== undefined).toEqual(true);
  });

  it("turns away at once what the caller can't wait for", () => {
    expect(turnAway({ ...outlook, wait: 900, left: 1_000 }, latenessTurnedAway, 0.5) !== undefined).toEqual(
      true,
    );
  });

  /**
   * A burst of twice what an engine computes. Sent at once, each prompt waits behind all before it, and after a
   * second and a half all of them are late; with the limit the queue stays at what is answered with little delay.
   */
  it("keeps a queue under a burst at what is answered in one and a half objectives", () => {
    const work = 100;
    const interval = 50;
    let queue = 0;
    let latest = 0;
    let answered = 0;
    for (let at = 0; at < 10_000; at += interval) {
      queue = Math.max(0, queue - interval);
      if (turnAway({ ...outlook, wait: queue + work }, latenessTurnedAway, 0.5) !== undefined) continue;
      queue += work;
      latest = Math.max(latest, queue);
      answered += 1;
    }
    expect(latest).toBeLessThanOrEqual(1_200);
    // The engine is never idle for it.
    expect(answered * work).toBeGreaterThan(10_000);
  });
});

describe("callers that come back", () => {
  it("are known by having less time than others of their route", () => {
    const { hasReturned } = createPatienceMemory();
    expect(hasReturned("a", 6_000)).toEqual(false);
    expect(hasReturned("a", 5_200)).toEqual(true);
    expect(hasReturned("a", 5_990)).toEqual(false);
    expect(hasReturned("b", 1_500)).toEqual(false);
    expect(hasReturned("b", undefined)).toEqual(false);
  });

  it("are told apart again after all callers of a route have come to wait less", () => {
    const { hasReturned } = createPatienceMemory();
    hasReturned("a", 6_000);
    for (let turn = 0; turn < 5_000; turn += 1) hasReturned("a", 3_000);
    expect([hasReturned("a", 3_000), hasReturned("a", 2_000)]).toEqual([false, true]);
  });
});
