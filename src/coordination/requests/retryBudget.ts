/**
 * Limits the retries of a request class to a ratio of its successful requests. When most requests fail, the budget runs
 * out, so that retries do not add to the load that causes the failures.
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
 * The purpose of a retry.
 *
 * - `attempt`: no part of the answer has been delivered.
 * - `continuation`: part of the answer has been delivered. Can overdraw the budget, since streams that have started have
 *   priority.
 * - `hedge`: a second attempt that runs beside one that has not failed.
 */
export type RetryKind = "attempt" | "continuation" | "hedge";

/** Decides whether a further attempt may be made. */
export abstract class RetryBudget {
  /** Records a successful request of the class. */
  abstract deposit(requestClass: ClassConfiguration): void;

  /** @returns Whether the attempt may be made; if so, it has been charged to the budget. */
  abstract tryTake(requestClass: ClassConfiguration, kind: RetryKind): boolean;

  /** @returns The remaining budget of each class, for a state dump. */
  abstract dump(): unknown;
}

interface Balance {
  retries: number;
  hedges: number;
  /** When the reserve was last refilled, milliseconds on the monotonic clock. */
  refilledAt: number;
}

/** A token bucket per class, filled by successful requests and, up to `retryReserve`, over time. */
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
    const balance = this.balances.get(name) ?? { retries: retryReserve, hedges: 1, refilledAt: now };
    const refill = ((now - balance.refilledAt) / 1_000) * reserveRefillPerSecond;
    if (balance.retries < retryReserve) balance.retries = Math.min(retryReserve, balance.retries + refill);
    balance.refilledAt = now;
    this.balances.set(name, balance);
    return balance;
  }
}
