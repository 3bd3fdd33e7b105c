/** What a router knows of one organisation's usage, and what it may forward without a grant. */
import type { LimitAnswer } from "../../protocol/forwarding/limitMessage.ts";
import type { OrganisationLimit } from "../../protocol/forwarding/types.ts";
import type { Clock } from "../clock.ts";
import type { ForwardingBounds } from "../forwarding/types.ts";
import type { SlidingWindowCounter } from "../slidingWindowCounter.ts";
import { createSlidingWindowCounter } from "../slidingWindowCounter.ts";
import {
  bucketsPerWindow,
  fallbackDuration,
  nearLimitShare,
  optimisticDuration,
  optimisticThreshold,
  overshootShares,
} from "./constants.ts";
import { overshootOf } from "./overshoot.ts";

/** One organisation's usage at one router. Amounts are in the unit of the organisation's limit. */
export interface UsageAccount {
  /** Forwarded by this router. */
  readonly used: SlidingWindowCounter;
  /** Forwarded by this router without a grant. */
  readonly ungranted: SlidingWindowCounter;
  /** Forwarded without a grant, to be reported to the coordinator with the next query. */
  spent: number;
  /** Granted and not run, to be reported with the next query. */
  returned: number;
  /** Forwarded while the coordinator is being queried. */
  inFlight: number;
  /** Until when the organisation counts as far from its limit, milliseconds on the monotonic clock. */
  optimisticUntil: number;
  /** Usage in a window that this router may go on with, as of the coordinator's last answer. */
  expectedUse: number;
  /** Until when that holds, milliseconds: callers may have moved to other routers, which expect as much again. */
  expectedUntil: number;
  /** Whether no coordinator answered the last query. */
  isWithoutCoordinator: boolean;
  /** The lower bound of the expected use: after a start little has been forwarded yet. */
  readonly minExpectedUse: number;
}

/**
 * Creates an account without usage.
 *
 * @param evenShare - What this router would use in a window if all routers used the same; the only estimate at first.
 */
export const createUsageAccount = (
  clock: Clock,
  { limitWindow }: ForwardingBounds,
  evenShare: number,
): UsageAccount => ({
  used: createSlidingWindowCounter(clock, limitWindow, bucketsPerWindow),
  ungranted: createSlidingWindowCounter(clock, limitWindow, bucketsPerWindow),
  spent: 0,
  returned: 0,
  inFlight: 0,
  optimisticUntil: Number.NEGATIVE_INFINITY,
  expectedUse: evenShare * nearLimitShare,
  expectedUntil: Number.NEGATIVE_INFINITY,
  minExpectedUse: evenShare * nearLimitShare,
  isWithoutCoordinator: false,
});

/** @returns What one of several routers may forward in a window without a grant. */
export const ungrantedAllowance = (
  { expectedUse, expectedUntil, minExpectedUse }: UsageAccount,
  limit: OrganisationLimit,
  bounds: ForwardingBounds,
  routers: number,
  clock: Clock,
): number => {
  const expected = clock.monotonic() < expectedUntil ? expectedUse : minExpectedUse;
  return (
    (overshootOf(limit, bounds) * overshootShares.ungranted) / routers +
    (expected * fallbackDuration) / bounds.limitWindow
  );
};

/** Counts usage that no coordinator has granted. */
export const spendUngranted = (account: UsageAccount, amount: number): void => {
  account.ungranted.add(amount);
  account.spent += amount;
};

/**
 * Applies an answer of the coordinator. A refusal shows that the organisation is near its limit also if most of the burst
 * is left: the next prompt may be as large as the refused one.
 */
export const noteAnswer = (
  account: UsageAccount,
  { verdict, remainingPercent }: Pick<LimitAnswer, "verdict" | "remainingPercent">,
  { limitWindow }: ForwardingBounds,
  clock: Clock,
): void => {
  const isFarFromLimit = verdict === "granted" && remainingPercent >= optimisticThreshold;
  account.optimisticUntil = isFarFromLimit
    ? clock.monotonic() + optimisticDuration
    : Number.NEGATIVE_INFINITY;
  account.expectedUntil = clock.monotonic() + limitWindow;
  account.expectedUse = Math.max(
    account.minExpectedUse,
    account.used.sum() * (isFarFromLimit ? 1 : nearLimitShare),
  );
};
