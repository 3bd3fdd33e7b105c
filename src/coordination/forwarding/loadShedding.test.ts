import { describe, it } from "node:test";
import { expect } from "earl";
import { latenessTurnedAway, maxRetryAfterShare } from "./constants.ts";
import { turnAway } from "./loadShedding.ts";

const outlook = { wait: 200, queueWait: 100, objective: 800, left: 6_000 };

/** Within which an answer is to begin, milliseconds. */
const limit = outlook.objective * latenessTurnedAway;

/** Behind so many milliseconds of others' work. */
const behind = (queueWait: number, own = 100) => ({ ...outlook, queueWait, wait: queueWait + own });

describe("turning requests away", () => {
  it("lets in what is predicted to begin in time", () => {
    expect(turnAway(outlook, latenessTurnedAway, 0.5)).toEqual(undefined);
    expect(turnAway(behind(limit - 100), latenessTurnedAway, 0.5)).toEqual(undefined);
    expect(turnAway(behind(limit - 99), latenessTurnedAway, 0.5) !== undefined).toEqual(true);
  });

  it("lets the longest prompts in, whatever they take themselves", () => {
    expect(turnAway(behind(100, 2_000), latenessTurnedAway, 0.5)).toEqual(undefined);
  });

  it("tells a caller to come back when the queue has shrunk, within what it still waits", () => {
    expect(turnAway(behind(1_500), latenessTurnedAway, 0.5)).toEqual(1_500 - limit / 2);
    expect(turnAway(behind(60_000), latenessTurnedAway, 0.5)).toEqual(6_000 * maxRetryAfterShare);
    const first = turnAway(behind(1_500), latenessTurnedAway, 0);
    expect(first === turnAway(behind(1_500), latenessTurnedAway, 1)).toEqual(false);
  });

  it("holds a caller that came back to the same limit", () => {
    const returned = { ...behind(3_000), left: 4_000 };
    expect(turnAway(returned, latenessTurnedAway, 0.5) !== undefined).toEqual(true);
    expect(turnAway({ ...returned, ...behind(100) }, latenessTurnedAway, 0.5)).toEqual(undefined);
  });

  it("turns away at once what the caller can't wait for", () => {
    const short = { ...behind(100, 900), left: 1_000 };
    expect(turnAway(short, latenessTurnedAway, 0.5) !== undefined).toEqual(true);
  });

  /**
   * A burst of twice what an engine computes. Sent at once, each prompt waits behind all before it, and after a
   * second and a half all of them are late; with the limit the queue stays at what is answered in time.
   */
  it("keeps a queue under a burst at what is answered in time, and the engine busy", () => {
    const work = 100;
    const interval = 50;
    let queue = 0;
    let latest = 0;
    let answered = 0;
    for (let at = 0; at < 10_000; at += interval) {
      queue = Math.max(0, queue - interval);
      if (turnAway(behind(queue, work), latenessTurnedAway, 0.5) !== undefined) continue;
      queue += work;
      latest = Math.max(latest, queue);
      answered += 1;
    }
    expect(latest).toBeLessThanOrEqual(outlook.objective);
    expect(answered * work).toBeGreaterThan(10_000);
  });
});
