/** The retry policies that are compared. */
import { RatioRetryBudget, RetryBudget } from "../../src/coordination/requests/retryBudget.ts";
import type { RetryPolicy } from "./simulation.ts";

/** A budget that always or never allows another attempt. */
class FixedBudget extends RetryBudget {
  private readonly allows: boolean;

  constructor(allows: boolean) {
    super();
    this.allows = allows;
  }

  override deposit = (): void => undefined;
  override tryTake = (): boolean => this.allows;
  override dump = (): unknown => ({ allows: this.allows });
}

const withoutBackOff = () => () => 0;

const never: RetryPolicy = {
  name: "no retries",
  createBudget: () => new FixedBudget(false),
  random: withoutBackOff,
  hedges: false,
};

const naive: RetryPolicy = {
  name: "naive (3 attempts at once)",
  createBudget: () => new FixedBudget(true),
  random: withoutBackOff,
  hedges: false,
};

/** The router's own policy without hedging. */
export const budgeted: RetryPolicy = {
  name: "ours (budget, back-off)",
  createBudget: (clock) => new RatioRetryBudget(clock),
  random: (random) => random.uniform,
  hedges: false,
};

/** The router's own policy. */
export const hedged: RetryPolicy = { ...budgeted, name: "ours with hedges", hedges: true };

const alwaysHedged: RetryPolicy = { ...naive, name: "naive with hedges", hedges: true };

/** Compared while engines fail. */
export const retryPolicies: readonly RetryPolicy[] = [never, naive, budgeted, hedged];
/** Compared without failures. */
export const hedgePolicies: readonly RetryPolicy[] = [budgeted, alwaysHedged, hedged];
