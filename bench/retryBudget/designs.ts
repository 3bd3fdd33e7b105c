/** Ways to decide how many retries a router may make; each counts what it has received and spent itself. */
import { createSlidingWindowCounter } from "../../src/coordination/slidingWindowCounter.ts";
import { createRetryShare } from "../../src/coordination/forwarding/retryShare.ts";
import { bounds } from "../../tests/support/forwardingFixture.ts";
import type { Allowance, AllowanceFactory } from "./fleetModel.ts";

/** Resolution of the sliding windows. */
const bucketsPerWindow = 20;

/** Share of the budget that is used where a router's requests and retries are those of the same window. */
const safetyFactor = 0.8;

/** Share of the ratio that each request pays where it pays for one window. */
const creditFactor = 0.5;

/** In any window, a share of the ratio of the requests in it. The bound holds as long as callers stay. */
const createWindowAllowance: AllowanceFactory = (clock, budget, reserveShare): Allowance => {
  const requests = createSlidingWindowCounter(clock, budget.retryWindow, bucketsPerWindow);
  const retries = createSlidingWindowCounter(clock, budget.retryWindow, bucketsPerWindow);
  return {
    noteRequest: () => requests.add(1),
    tryTake: () => {
      const earned = budget.retryRatio * requests.sum() + budget.retryReserve * reserveShare.share();
      if (retries.sum() + 1 > safetyFactor * earned) return false;
      retries.add(1);
      return true;
    },
  };
};

/** The same, and in each part of a window no more than the requests of that part earn. */
const createPartWindowAllowance =
  (parts: number): AllowanceFactory =>
  (clock, budget, reserveShare) => {
    const part = { ...budget, retryWindow: budget.retryWindow / parts };
    const shorter = createWindowAllowance(clock, part, reserveShare);
    const whole = createWindowAllowance(clock, budget, reserveShare);
    return {
      noteRequest: (service) => {
        shorter.noteRequest(service);
        whole.noteRequest(service);
      },
      tryTake: (service) => shorter.tryTake(service) && whole.tryTake(service),
    };
  };

/** Each request pays half of the ratio once, within a window after its arrival. */
const createCreditAllowance: AllowanceFactory = (clock, budget, reserveShare) => {
  const reserve = createSlidingWindowCounter(clock, budget.retryWindow, bucketsPerWindow);
  const credits: { readonly at: number; amount: number }[] = [];
  const spend = (): boolean => {
    while (credits[0] !== undefined && credits[0].at <= clock.monotonic() - budget.retryWindow)
      credits.shift();
    if (credits.reduce((sum, { amount }) => sum + amount, 0) < 1) return false;
    let left = 1;
    for (const credit of credits) {
      const paid = Math.min(left, credit.amount);
      credit.amount -= paid;
      left -= paid;
    }
    return true;
  };
  return {
    noteRequest: () => {
      const amount = creditFactor * budget.retryRatio;
      const last = credits.at(-1);
      if (last?.at === clock.monotonic()) last.amount += amount;
      else credits.push({ at: clock.monotonic(), amount });
    },
    tryTake: () => {
      if (spend()) return true;
      if (reserve.sum() + 1 > budget.retryReserve * reserveShare.share()) return false;
      reserve.add(1);
      return true;
    },
  };
};

/** The routers' own allowance. */
export const createServingAllowance: AllowanceFactory = (clock, budget, reserveShare) =>
  createRetryShare({ clock, bounds: { ...bounds, ...budget }, reserveShare });

/** By name for tables. */
export const designs: Readonly<Record<string, AllowanceFactory>> = {
  "same window": createWindowAllowance,
  "same window, and half windows": createPartWindowAllowance(2),
  "same window, and quarter windows": createPartWindowAllowance(4),
  "each request pays half once": createCreditAllowance,
  "as it serves": createServingAllowance,
};
