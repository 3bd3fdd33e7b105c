/**
 * How much prompt computing each organisation has used beside its share of the engines. Who is over its share
 * may use what the others leave, at a lower engine priority.
 */
import { computingBurst, computingShare, smallestComputingBurst } from "./constants.ts";
import type { Shard } from "./shuffleShards.ts";

/** This router's accounts of prompt tokens. */
export interface ComputingShares {
  /** True if an organisation has used up what its standing gives it. */
  readonly isOver: (organisation: string, shard: Shard, now: number) => boolean;
  /** @param tokens - Prompt tokens computed for it; negative to give back. */
  readonly charge: (organisation: string, tokens: number) => void;
}

interface Account {
  tokens: number;
  filledAt: number;
}

/**
 * Makes full accounts.
 *
 * @param liveRouters - Routers among which an organisation's requests are spread evenly.
 */
export const createComputingShares = (liveRouters: () => number): ComputingShares => {
  const accounts = new Map<string, Account>();

  return {
    isOver: (organisation, shard, now) => {
      const tokensPerSecond = shard.standingShare * shard.tokensPerSecond * computingShare;
      const rate = tokensPerSecond / 1_000 / Math.max(1, liveRouters());
      const most = Math.max(smallestComputingBurst, rate * computingBurst);
      const account = accounts.get(organisation) ?? { tokens: most, filledAt: now };
      accounts.set(organisation, account);
      account.tokens = Math.min(most, account.tokens + rate * (now - account.filledAt));
      account.filledAt = now;
      return account.tokens < 0;
    },
    charge: (organisation, tokens) => {
      const account = accounts.get(organisation);
      if (account !== undefined) account.tokens -= tokens;
    },
  };
};
