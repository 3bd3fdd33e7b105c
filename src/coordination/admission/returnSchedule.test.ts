import { describe, it } from "node:test";
import { expect } from "earl";
import { createManualClock } from "../manualClock.ts";
import { maxRetryAfterShare, minRetryAfter } from "../forwarding/constants.ts";
import { callerTimePeriod, returnGrace, returnSpacing } from "./constants.ts";
import { createReturnSchedule } from "./returnSchedule.ts";

const usualTimeout = 6_000;

const create = () => {
  const clock = createManualClock();
  const schedule = createReturnSchedule(clock);
  let prompts = 0;
  /** Refuses a new prompt. @returns Milliseconds after which its caller is to return. */
  const refuse = (fields = {}): number => {
    prompts += 1;
    const request = {
      service: "engines",
      prompt: `prompt-${prompts}`,
      organisation: 1,
      priority: 0,
      isForShare: false,
      timeToDrain: 200,
      computingTime: 50,
      remaining: usualTimeout,
      ...fields,
    };
    return schedule.promise(request, 0.5);
  };
  /** @returns Whether the reserve is closed to a caller that states a time. */
  const isClosed = (timeout: number | undefined, fields = {}): boolean =>
    schedule.isReserveClosed({
      service: "engines",
      prompt: "unknown",
      route: "ask",
      organisation: 1,
      priority: 0,
      timeout,
      ...fields,
    });
  return { clock, schedule, refuse, isClosed };
};

describe("return schedule", () => {
  // From one prediction, all callers that are refused together are told to return together.
  it("promises one time after the other, up to the longest time that callers honour", () => {
    const { refuse } = create();
    const times = Array.from({ length: 200 }, () => refuse());
    const spacing = 50 * returnSpacing;
    expect(times.slice(0, 3)).toEqual([200, 200 + spacing, 200 + 2 * spacing]);
    expect(Math.max(...times)).toEqual(usualTimeout * maxRetryAfterShare);
  });

  it("promises again what time has freed, and not before the queue has drained", () => {
    const { clock, refuse } = create();
    for (let index = 0; index < 200; index += 1) refuse();
    clock.advanceTo(4_000);
    expect(refuse()).toEqual(200);
  });

  it("doesn't delay others by the promises to an organisation that is refused for its share", () => {
    const { refuse } = create();
    for (let index = 0; index < 200; index += 1) refuse({ isForShare: true });
    expect(refuse({ organisation: 2 })).toEqual(200);
    expect(refuse({ organisation: 2, isForShare: true })).toEqual(200);
  });

  it("opens the reserve to callers that return when asked, and to all when no return is due", () => {
    const { clock, refuse, isClosed } = create();
    expect(isClosed(usualTimeout)).toEqual(false);
    const wait = refuse();
    expect(isClosed(usualTimeout)).toEqual(true);
    expect(isClosed(undefined)).toEqual(true);
    expect(isClosed(usualTimeout, { organisation: 2 })).toEqual(false);
    expect(isClosed(usualTimeout, { priority: 1 })).toEqual(false);
    expect(isClosed(usualTimeout - wait)).toEqual(false);
    clock.advanceTo(wait + returnGrace);
    expect(isClosed(usualTimeout)).toEqual(false);
  });

  it("gives callers that retry at once and often neither the reserve nor further promises", () => {
    const { clock, schedule, refuse, isClosed } = create();
    isClosed(usualTimeout);
    expect(refuse({ prompt: "mine" })).toEqual(200);
    clock.advanceTo(100);
    expect(isClosed(usualTimeout - 100)).toEqual(true);
    expect(isClosed(usualTimeout - 100, { prompt: "mine" })).toEqual(true);
    expect(schedule.timeToPromise("mine")).toEqual(80);
    expect(refuse({ prompt: "mine" })).toEqual(minRetryAfter);
    expect(refuse({ prompt: "another" })).toEqual(200);
    clock.advanceTo(200);
    expect(isClosed(undefined, { prompt: "mine" })).toEqual(false);
    expect(schedule.timeToPromise("mine")).toEqual(0);
  });

  // A router that has just started knows no usual time: the first callers that return must not set it for long.
  it("learns the time that callers usually state, and forgets one that is no longer stated", () => {
    const { clock, refuse, isClosed } = create();
    isClosed(usualTimeout - 1_000);
    isClosed(usualTimeout);
    refuse();
    expect(isClosed(usualTimeout - 1_000)).toEqual(false);
    clock.advanceTo(callerTimePeriod);
    isClosed(usualTimeout - 1_000);
    clock.advanceTo(2 * callerTimePeriod);
    isClosed(usualTimeout - 1_000);
    refuse();
    expect(isClosed(usualTimeout - 1_000)).toEqual(true);
  });
});
