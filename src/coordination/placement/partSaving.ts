/**
 * Decides which prompts have their parts saved in a cache store.
 *
 * Handles memory pressure: the engines' memory holds less than prompts share, so a part is evicted before its next use
 * and no engine has it any more. Saving uses the links of the engine and the store, which copies between engines need
 * too. So parts are saved only where losses have been observed, and only in a share of the link's time.
 */
import type { CacheStore } from "../../protocol/forwarding/types.ts";
import type { Clock } from "../clock.ts";
import {
  minComputingTimeToSave,
  lossSmoothingFactor,
  saveBurst,
  minShareToSave,
} from "../forwarding/constants.ts";
import type { LoadPolicy } from "../forwarding/loadPolicy.ts";

export interface PartSavingDependencies {
  readonly clock: Clock;
  readonly policy: Pick<LoadPolicy, "lossWorthSaving" | "saveLinkShare">;
  /** @returns Number of routers that may be saving, this one included. */
  readonly routerCount: () => number;
  /** @returns Number of stores whose links the routers share. */
  readonly storeCount: () => number;
}

/** What the decision to save a prompt's shared parts depends on. */
export interface SaveCandidate {
  /** The store that the parts may be saved in, if there is one. */
  readonly store: CacheStore | undefined;
  /** The deepest shared part was used before, under the same salt. */
  readonly wasUsed: boolean;
  /** An engine is assumed to cache all of them. */
  readonly isCached: boolean;
  /** The store is assumed to hold all of them, or to be receiving them. */
  readonly isSaved: boolean;
  /** How long an engine takes to compute them, milliseconds. */
  readonly computingTime: number;
  /** Their share of the whole prompt, 0 to 1: a store takes in the rest too, and evicts other parts for it. */
  readonly share: number;
  /** How long the store's link takes for the whole prompt, milliseconds. */
  readonly transferTime: number;
}

export interface PartSaving {
  /**
   * Records the use of a prompt that is about to be sent, and decides whether its parts are saved.
   *
   * @returns The store to save its parts in; `undefined` if they are not to be saved.
   */
  readonly chooseStore: (shared: SaveCandidate) => CacheStore | undefined;
  /** @returns Share of recently reused parts that no engine cached any more, 0 to 1. */
  readonly lossShare: () => number;
}

export const createPartSaving = (dependencies: PartSavingDependencies): PartSaving => {
  const { clock, policy, routerCount, storeCount } = dependencies;
  let lossShare = 0;
  let availableLinkTime = 0;
  let refilledAt = clock.monotonic();

  const noteUse = ({ wasUsed, isCached }: SaveCandidate): void => {
    if (wasUsed) lossShare += ((isCached ? 0 : 1) - lossShare) * lossSmoothingFactor;
  };

  const refillLinkTime = (now: number): void => {
    const count = Math.max(1, routerCount()) / Math.max(1, storeCount());
    const refilled = availableLinkTime + ((now - refilledAt) * policy.saveLinkShare) / count;
    availableLinkTime = Math.min(saveBurst / count, refilled);
    refilledAt = now;
  };

  const isWorthSaving = ({ computingTime, share }: SaveCandidate): boolean =>
    computingTime > minComputingTimeToSave && share >= minShareToSave;

  return {
    chooseStore: (shared) => {
      noteUse(shared);
      if (shared.store === undefined || shared.isSaved || !isWorthSaving(shared)) return undefined;
      const isLost = shared.wasUsed && !shared.isCached;
      if (!isLost && lossShare < policy.lossWorthSaving) return undefined;
      refillLinkTime(clock.monotonic());
      if (availableLinkTime < 0) return undefined;
      availableLinkTime -= shared.transferTime;
      return shared.store;
    },
    lossShare: () => lossShare,
  };
};
