import { describe, it } from "node:test";
import { expect } from "earl";
import { createManualClock } from "./manualClock.ts";
import { startPeriodicTask } from "./periodicTask.ts";

describe("a periodic task", () => {
  it("goes on after a run that failed, without haste, until it is stopped", () => {
    const clock = createManualClock();
    const runs: number[] = [];
    const stop = startPeriodicTask(clock, "test", 10, () => {
      runs.push(clock.monotonic());
      if (runs.length === 2) throw new Error("once");
      return 10;
    });
    for (let time = 0; time < 1_060; time += 10) clock.advanceTo(time);
    expect(runs).toEqual([10, 20, 1_020, 1_030, 1_040, 1_050]);
    stop();
    clock.advanceTo(2_000);
    expect(runs.length).toEqual(6);
  });
});
