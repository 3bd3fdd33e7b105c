/**
 * Token buckets of prompt computation, one for each organisation and sized by its share of the engines. An
 * organisation that is over its budget may use the capacity that others leave, at a lower engine priority.
 */
import { prefillBurst, prefillBudgetFactor, minimumPrefillBurst } from "./constants.ts";
import type { Shard } from "./shuffleShards.ts";

/** This router's budgets of computed prompt tokens. */
export interface PrefillBudgets {
  /** @returns True if an organisation has used up the budget that its standing gives it. */
  readonly isOverBudget: (organisation: string, shard: Shard, now: number) => boolean;
  /** @param tokens - Prompt tokens computed for the organisation; negative values are refunds. */
  readonly charge: (organisation: string, tokens: number) => void;
}

interface Account {
  tokens: number;
  filledAt: number;
}

/**
 * Creates budgets that start out full.
 *
 * @param liveRouters - Number of routers, over which an organisation's requests are assumed to be spread evenly.
 */
export const createPrefillBudgets = (liveRouters: () => number): PrefillBudgets => {
  const accounts = new Map<string, Account>();

  return {
    isOverBudget: (organisation, shard, now) => {
      const tokensPerSecond = shard.standingShare * shard.tokensPerSecond * prefillBudgetFactor;
      const rate = tokensPerSecond / 1_000 / Math.max(1, liveRouters());
      const capacity = Math.max(minimumPrefillBurst, rate * prefillBurst);
      const account = accounts.get(organisation) ?? { tokens: capacity, filledAt: now };
      accounts.set(organisation, account);
      account.tokens = Math.min(capacity, account.tokens + rate * (now - account.filledAt));
      account.filledAt = now;
      return account.tokens < 0;
    },
    charge: (organisation, tokens) => {
      const account = accounts.get(organisation);
      if (account !== undefined) account.tokens -= tokens;
    },
  };
};
