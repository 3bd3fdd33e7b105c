/**
 * Which prompts' parts are saved in a store of prompt parts.
 *
 * The load pattern that it answers: engines' memory holds less than what prompts share, so that a part is dropped
 * before its next use, and then no engine has it. Saving takes the links of the engine and the store, which copies
 * between engines need too; so parts are saved only where being lost was seen, and in a share of the link's time.
 */
import type { CacheStore } from "../../protocol/forwarding/types.ts";
import type { Clock } from "../clock.ts";
import { lossGain, lossWorthSaving, saveBurst, saveLinkShare, saveMemory } from "./constants.ts";

/** What saving is decided by. */
export interface PartSavingParts {
  readonly clock: Clock;
  /** Routers that may be saving, this one included. */
  readonly routers: () => number;
}

/** A prompt's shared parts, as far as saving them goes. */
export interface SharedParts {
  /** Names the deepest shared part together with its salt. */
  readonly key: number;
  /** A store that the parts may be saved in. */
  readonly store: CacheStore | undefined;
  /** The part was used before, under the same salt. */
  readonly wasUsed: boolean;
  /** An engine is believed to keep all of them. */
  readonly isKept: boolean;
  /** The store is believed to keep all of them. */
  readonly isSaved: boolean;
  /** How long the store's link takes for the prompt, milliseconds. */
  readonly transferTime: number;
}

/** See {@link createPartSaving}. */
export interface PartSaving {
  /** Takes a look at a prompt that is about to be sent. @returns The store that its parts are to be saved in. */
  readonly decide: (shared: SharedParts) => CacheStore | undefined;
  /** @returns Share of the parts used again of late that no engine kept any more, 0 to 1. */
  readonly lossShare: () => number;
}

/** Creates a decision that has seen nothing. */
export const createPartSaving = ({ clock, routers }: PartSavingParts): PartSaving => {
  /** By key: until when a save is taken to be under way. */
  const underWay = new Map<number, number>();
  let lossShare = 0;
  let linkTime = saveBurst;
  let refilledAt = clock.monotonic();

  const note = ({ wasUsed, isKept }: SharedParts): void => {
    if (wasUsed) lossShare += ((isKept ? 0 : 1) - lossShare) * lossGain;
  };

  const refill = (now: number): void => {
    const share = saveLinkShare / Math.max(1, routers());
    linkTime = Math.min(saveBurst, linkTime + (now - refilledAt) * share);
    refilledAt = now;
  };

  const forgetOld = (now: number): void => {
    for (const [key, until] of underWay) {
      if (until > now) return;
      underWay.delete(key);
    }
  };

  return {
    decide: (shared) => {
      note(shared);
      if (shared.store === undefined || shared.isSaved) return undefined;
      const isLost = shared.wasUsed && !shared.isKept;
      if (!isLost && lossShare < lossWorthSaving) return undefined;
      const now = clock.monotonic();
      forgetOld(now);
      if (underWay.has(shared.key)) return undefined;
      refill(now);
      if (linkTime < 0) return undefined;
      linkTime -= shared.transferTime;
      underWay.set(shared.key, now + saveMemory);
      return shared.store;
    },
    lossShare: () => lossShare,
  };
};
