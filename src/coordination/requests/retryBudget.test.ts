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

/** @returns The number of retries that the budget allows in a row. */
const takeUntilRefused = (
  budget: RatioRetryBudget,
  requestClass: ClassConfiguration,
  kind: RetryKind,
): number => {
  let taken = 0;
  while (budget.tryTake(requestClass, kind)) taken += 1;
  return taken;
};

describe("RatioRetryBudget", () => {
  it("allows the reserve, then a ratio of the successful requests", () => {
    const budget = new RatioRetryBudget(createManualClock());
    const requestClass = classOf(0.25);
    expect(takeUntilRefused(budget, requestClass, "attempt")).toEqual(retryReserve);
    for (let count = 0; count < 40; count += 1) budget.deposit(requestClass);
    expect(takeUntilRefused(budget, requestClass, "attempt")).toEqual(10);
  });

  it("accumulates no more than its maximum, which continuations can overdraw", () => {
    const budget = new RatioRetryBudget(createManualClock());
    const requestClass = classOf(1);
    for (let count = 0; count < 1_000; count += 1) budget.deposit(requestClass);
    expect(takeUntilRefused(budget, requestClass, "attempt")).toEqual(maxRetryBalance);
    expect(takeUntilRefused(budget, requestClass, "continuation")).toEqual(maxRetryBalance);
    expect(takeUntilRefused(budget, requestClass, "attempt")).toEqual(0);
  });

  it("refills the reserve over time, and no more than the reserve", () => {
    const clock = createManualClock();
    const budget = new RatioRetryBudget(clock);
    const requestClass = classOf(0.25);
    takeUntilRefused(budget, requestClass, "attempt");
    clock.advanceTo(5_000);
    expect(takeUntilRefused(budget, requestClass, "attempt")).toEqual(1);
    clock.advanceTo(600_000);
    expect(takeUntilRefused(budget, requestClass, "attempt")).toEqual(retryReserve);
  });

  it("allows no retries for a class whose retry ratio is 0", () => {
    const budget = new RatioRetryBudget(createManualClock());
    expect(takeUntilRefused(budget, classOf(0), "continuation")).toEqual(0);
  });
});
