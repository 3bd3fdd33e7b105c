/**
 * Which prompts' parts are saved in a store of prompt parts.
 *
 * The load pattern that it answers: engines' memory holds less than what prompts share, so that a part is dropped
 * before its next use, and then no engine has it. Saving takes the links of the engine and the store, which copies
 * between engines need too; so parts are saved only where being lost was seen, and in a share of the link's time.
 */
import type { CacheStore } from "../../protocol/forwarding/types.ts";
import type { Clock } from "../clock.ts";
import { computingWorthSaving, lossGain, saveBurst, shareWorthSaving } from "./constants.ts";
import type { LoadPolicy } from "./loadPolicy.ts";

/** What saving is decided by. */
export interface PartSavingParts {
  readonly clock: Clock;
  readonly policy: Pick<LoadPolicy, "lossWorthSaving" | "saveLinkShare">;
  /** Routers that may be saving, this one included. */
  readonly routers: () => number;
}

/** A prompt's shared parts, as far as saving them goes. */
export interface SaveCandidate {
  /** A store that the parts may be saved in. */
  readonly store: CacheStore | undefined;
  /** The part was used before, under the same salt. */
  readonly wasUsed: boolean;
  /** An engine is believed to keep all of them. */
  readonly isKept: boolean;
  /** The store is believed to keep all of them, or to be getting them. */
  readonly isSaved: boolean;
  /** How long an engine takes to compute them, milliseconds. */
  readonly computingTime: number;
  /** Their share of the whole prompt, 0 to 1: a store takes in the rest too, and drops others for it. */
  readonly share: number;
  /** How long the store's link takes for the whole prompt, milliseconds. */
  readonly transferTime: number;
}

/** See {@link createPartSaving}. */
export interface PartSaving {
  /** Takes a look at a prompt that is about to be sent. @returns The store that its parts are to be saved in. */
  readonly chooseStore: (shared: SaveCandidate) => CacheStore | undefined;
  /** @returns Share of the parts used again of late that no engine kept any more, 0 to 1. */
  readonly lossShare: () => number;
}

/** Creates a decision that has seen nothing. */
export const createPartSaving = ({ clock, policy, routers }: PartSavingParts): PartSaving => {
  let lossShare = 0;
  let linkTime = 0;
  let refilledAt = clock.monotonic();

  const note = ({ wasUsed, isKept }: SaveCandidate): void => {
    if (wasUsed) lossShare += ((isKept ? 0 : 1) - lossShare) * lossGain;
  };

  const refill = (now: number): void => {
    const count = Math.max(1, routers());
    const refilled = linkTime + ((now - refilledAt) * policy.saveLinkShare) / count;
    linkTime = Math.min(saveBurst / count, refilled);
    refilledAt = now;
  };

  const isWorthSaving = ({ computingTime, share }: SaveCandidate): boolean =>
    computingTime > computingWorthSaving && share >= shareWorthSaving;

  return {
    chooseStore: (shared) => {
      note(shared);
      if (shared.store === undefined || shared.isSaved || !isWorthSaving(shared)) return undefined;
      const isLost = shared.wasUsed && !shared.isKept;
      if (!isLost && lossShare < policy.lossWorthSaving) return undefined;
      refill(clock.monotonic());
      if (linkTime < 0) return undefined;
      linkTime -= shared.transferTime;
      return shared.store;
    },
    lossShare: () => lossShare,
  };
};
