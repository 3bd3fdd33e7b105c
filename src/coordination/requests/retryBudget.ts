/**
 * How many retries a class may make: a share of its successful requests. Where much fails, little succeeds, and
 * the retries dry up instead of adding to the load that makes things fail.
 */
import type { ClassConfiguration } from "../../protocol/configuration/schema.ts";
import type { Clock } from "../clock.ts";
import {
  hedgeRatio,
  maxHedgeBalance,
  maxRetryBalance,
  reserveRefillPerSecond,
  retryReserve,
} from "./constants.ts";

/**
 * What a retry is for.
 *
 * - `attempt`: nothing of the answer has gone to the caller yet.
 * - `continuation`: the caller has part of the answer; may overdraw, since a stream that has begun comes first.
 * - `hedge`: a second attempt beside one that has not failed.
 */
export type RetryKind = "attempt" | "continuation" | "hedge";

/** Decides whether one more attempt may be made. */
export abstract class RetryBudget {
  /** A request of the class has ended well. */
  abstract deposit(requestClass: ClassConfiguration): void;

  /** @returns False if no attempt may be made. */
  abstract tryTake(requestClass: ClassConfiguration, kind: RetryKind): boolean;

  /** What classes have left, for a state dump. */
  abstract dump(): unknown;
}

interface Balance {
  retries: number;
  hedges: number;
  /** When the reserve was last topped up, milliseconds on the monotonic clock. */
  toppedUpAt: number;
}

/** A token bucket for each class, filled by successes and, up to a small reserve, by time. */
export class RatioRetryBudget extends RetryBudget {
  private readonly clock: Clock;
  private readonly balances = new Map<string, Balance>();

  constructor(clock: Clock) {
    super();
    this.clock = clock;
  }

  override deposit(requestClass: ClassConfiguration): void {
    const balance = this.balanceOf(requestClass);
    balance.retries = Math.min(maxRetryBalance, balance.retries + requestClass.retryRatio);
    balance.hedges = Math.min(maxHedgeBalance, balance.hedges + hedgeRatio);
  }

  override tryTake(requestClass: ClassConfiguration, kind: RetryKind): boolean {
    if (requestClass.retryRatio === 0) return false;
    const balance = this.balanceOf(requestClass);
    const floor = kind === "continuation" ? -maxRetryBalance : 0;
    if (balance.retries - 1 < floor) return false;
    if (kind === "hedge") {
      if (balance.hedges < 1) return false;
      balance.hedges -= 1;
    }
    balance.retries -= 1;
    return true;
  }

  override dump(): unknown {
    return Object.fromEntries(
      [...this.balances].map(([name, { retries, hedges }]) => [name, { retries, hedges }]),
    );
  }

  private balanceOf({ name }: ClassConfiguration): Balance {
    const now = this.clock.monotonic();
    const balance = this.balances.get(name) ?? { retries: retryReserve, hedges: 1, toppedUpAt: now };
    const refill = ((now - balance.toppedUpAt) / 1_000) * reserveRefillPerSecond;
    if (balance.retries < retryReserve) balance.retries = Math.min(retryReserve, balance.retries + refill);
    balance.toppedUpAt = now;
    this.balances.set(name, balance);
    return balance;
  }
}
