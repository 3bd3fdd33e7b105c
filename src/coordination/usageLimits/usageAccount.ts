/** What a router knows of one organisation's use, and what it may pass on without asking. */
import type { OrganisationLimit } from "../../protocol/forwarding/types.ts";
import type { Clock } from "../clock.ts";
import type { ForwardingBounds } from "../forwarding/types.ts";
import type { SlidingWindowCounter } from "../slidingWindowCounter.ts";
import { createSlidingWindowCounter } from "../slidingWindowCounter.ts";
import {
  bucketsPerWindow,
  continuation,
  overshootShares,
  pressedShare,
  roomMemory,
  roomyBurst,
} from "./constants.ts";
import { overshootOf } from "./overshoot.ts";

/** See the module. */
export interface UsageAccount {
  /** Passed on here. */
  readonly used: SlidingWindowCounter;
  /** Passed on here without having been asked for. */
  readonly unasked: SlidingWindowCounter;
  /** To be told with the next question. */
  spent: number;
  returned: number;
  /** Passed on while the question is under way. */
  underWay: number;
  /** Until when the organisation is believed to be far from its limit, milliseconds on the monotonic clock. */
  roomyUntil: number;
  /** How much this router may count on that it had passed on in a window when it last heard from the keeper. */
  usualUse: number;
  /** No keeper answered the last question. */
  isAlone: boolean;
  /** The least that it counts on: after a start little has been passed on yet. */
  readonly leastUse: number;
}

/**
 * Creates an account of no use.
 *
 * @param evenPart - What it would use in a window if all routers used as much: nothing else is known at first.
 */
export const createUsageAccount = (
  clock: Clock,
  { limitWindow }: ForwardingBounds,
  evenPart: number,
): UsageAccount => ({
  used: createSlidingWindowCounter(clock, limitWindow, bucketsPerWindow),
  unasked: createSlidingWindowCounter(clock, limitWindow, bucketsPerWindow),
  spent: 0,
  returned: 0,
  underWay: 0,
  roomyUntil: Number.NEGATIVE_INFINITY,
  usualUse: evenPart * pressedShare,
  leastUse: evenPart * pressedShare,
  isAlone: false,
});

/** @returns What one of several routers may pass on unasked in a window. */
export const unaskedPart = (
  { usualUse }: UsageAccount,
  limit: OrganisationLimit,
  bounds: ForwardingBounds,
  routers: number,
): number =>
  (overshootOf(limit, bounds) * overshootShares.unasked) / routers +
  (usualUse * continuation) / bounds.limitWindow;

/** Passes on what no keeper has granted. */
export const spendUnasked = (account: UsageAccount, amount: number): void => {
  account.unasked.add(amount);
  account.spent += amount;
};

/** Takes what an answer says of how far the organisation is from its limit. @param room - In hundredths. */
export const noteRoom = (account: UsageAccount, room: number, clock: Clock): void => {
  const isRoomy = room >= roomyBurst;
  account.roomyUntil = isRoomy ? clock.monotonic() + roomMemory : Number.NEGATIVE_INFINITY;
  account.usualUse = Math.max(account.leastUse, account.used.sum() * (isRoomy ? 1 : pressedShare));
};
