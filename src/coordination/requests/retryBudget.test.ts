import { describe, it } from "node:test";
import { expect } from "earl";
import type { ClassConfiguration } from "../../protocol/configuration/schema.ts";
import { createManualClock } from "../manualClock.ts";
import { maxRetryBalance, retryReserve } from "./constants.ts";
import { RatioRetryBudget } from "./retryBudget.ts";
import type { RetryKind } from "./retryBudget.ts";

const classOf = (retryRatio: number): ClassConfiguration => ({
  name: "currency-check",
  deployment: "levant",
  kind: "interactive",
  firstTokenDeadline: 600,
  completionDeadline: 3_000,
  stallTimeout: 500,
  priority: 0,
  retryRatio,
});

/** Takes until nothing is given any more. */
const takeAll = (budget: RatioRetryBudget, requestClass: ClassConfiguration, kind: RetryKind): number => {
  let taken = 0;
  while (budget.tryTake(requestClass, kind)) taken += 1;
  return taken;
};

describe("RatioRetryBudget", () => {
  it("gives the reserve, then a share of the successes", () => {
    const budget = new RatioRetryBudget(createManualClock());
    const requestClass = classOf(0.25);
    expect(takeAll(budget, requestClass, "attempt")).toEqual(retryReserve);
    for (let count = 0; count < 40; count += 1) budget.deposit(requestClass);
    expect(takeAll(budget, requestClass, "attempt")).toEqual(10);
  });

  it("saves up no more than its limit, which streams that have begun may overdraw", () => {
    const budget = new RatioRetryBudget(createManualClock());
    const requestClass = classOf(1);
    for (let count = 0; count < 1_000; count += 1) budget.deposit(requestClass);
    expect(takeAll(budget, requestClass, "attempt")).toEqual(maxRetryBalance);
    expect(takeAll(budget, requestClass, "continuation")).toEqual(maxRetryBalance);
    expect(takeAll(budget, requestClass, "attempt")).toEqual(0);
  });

  it("gives the reserve back with time, and nothing beyond it", () => {
    const clock = createManualClock();
    const budget = new RatioRetryBudget(clock);
    const requestClass = classOf(0.25);
    takeAll(budget, requestClass, "attempt");
    clock.advanceTo(5_000);
    expect(takeAll(budget, requestClass, "attempt")).toEqual(1);
    clock.advanceTo(600_000);
    expect(takeAll(budget, requestClass, "attempt")).toEqual(retryReserve);
  });

  it("gives nothing to a class without retries", () => {
    const budget = new RatioRetryBudget(createManualClock());
    expect(takeAll(budget, classOf(0), "continuation")).toEqual(0);
  });
});
