/**
 * Which replicas are believed to keep which prompt parts, by what was sent there.
 *
 * Engines drop what was used longest ago when their memory is full. So a belief ends once as many tokens have been
 * computed there since as the memory holds.
 */
import { hash32 } from "../../protocol/prefixLevels.ts";
import type { CacheChange, Prompt } from "../../protocol/forwarding/types.ts";
import type { Clock } from "../clock.ts";
import { holderMemory, mostParts } from "./constants.ts";

/** How much of a prompt a replica is believed to keep. */
export interface HeldPrompt {
  readonly tokens: number;
  /** When it was last used there, milliseconds on the monotonic clock. */
  readonly usedAt: number;
  /** False while it is still being computed: what is sent there later will find it, nobody else can copy it. */
  readonly isReady: boolean;
}

/** See {@link createCacheHolders}. */
export interface CacheHolders {
  /** @returns By replica: how much of the prompt's reusable parts it is believed to keep. */
  readonly find: (salt: string, prompt: Prompt) => ReadonlyMap<string, HeldPrompt>;
  /**
   * A replica computes the prompt, or has computed or copied it.
   *
   * @returns The key of the deepest reusable part if it was not known to be there; otherwise nothing.
   */
  readonly note: (salt: string, prompt: Prompt, holder: string, isReady: boolean) => number | undefined;
  /** @returns The key of the deepest part that others may share; nothing if there is none. */
  readonly deepestKey: (salt: string, prompt: Prompt) => number | undefined;
  /** @returns Whether a part was used before, wherever it is by now. */
  readonly wasUsed: (key: number) => boolean;
  /** A store of prompt parts tells what it keeps. */
  readonly noteChange: (store: string, change: CacheChange) => void;
  /** A peer tells of a part. */
  readonly noteKey: (key: number, holder: string) => void;
  /** A replica is gone, or has lost what it kept. */
  readonly forget: (holder: string) => void;
}

/** What beliefs are kept with. */
export interface CacheHoldersParts {
  readonly clock: Clock;
  /** Tokens that have been computed at a replica by now. */
  readonly computedTokens: (holder: string) => number;
  /** Tokens that fit into a replica's memory. */
  readonly memoryTokens: (holder: string) => number;
}

interface Belief {
  readonly usedAt: number;
  /** Tokens that had been computed there by then. */
  readonly computed: number;
  readonly isReady: boolean;
  /** The holder itself will tell when it drops the part. */
  readonly isTold: boolean;
}

/** Parts that other requests may have too: all but the last. */
export const reusableParts = ({ parts }: Prompt): Prompt["parts"] => parts.slice(0, -1);

/** Short, since routers tell one another; two parts with one key cost a copy that finds nothing. */
const keyOf = (salt: string, id: string): number => hash32(`${salt}\u0000${id}`);

/** Creates beliefs about nothing. */
export const createCacheHolders = (parts: CacheHoldersParts): CacheHolders => {
  const { clock, computedTokens, memoryTokens } = parts;
  /** The part that was used longest ago comes first. */
  const beliefs = new Map<number, Map<string, Belief>>();

  const isKept = (holder: string, { usedAt, computed, isTold }: Belief): boolean =>
    isTold ||
    (clock.monotonic() - usedAt < holderMemory && computedTokens(holder) - computed < memoryTokens(holder));

  const forgetOldest = (): void => {
    const oldest = beliefs.size > mostParts ? beliefs.keys().next().value : undefined;
    if (oldest !== undefined) beliefs.delete(oldest);
  };

  /** @returns Whether it is news that the part is there. */
  const noteOne = (key: number, holder: string, isReady: boolean): boolean => {
    const ofPart = beliefs.get(key) ?? new Map<string, Belief>();
    const before = ofPart.get(holder);
    const wasReady = before?.isReady === true && isKept(holder, before);
    const usedAt = clock.monotonic();
    const computed = computedTokens(holder);
    ofPart.set(holder, { usedAt, computed, isReady: isReady || wasReady, isTold: false });
    beliefs.delete(key);
    beliefs.set(key, ofPart);
    forgetOldest();
    return isReady && !wasReady;
  };

  const noteTold = (key: number, holder: string): void => {
    const ofPart = beliefs.get(key) ?? new Map<string, Belief>();
    ofPart.set(holder, { usedAt: clock.monotonic(), computed: 0, isReady: true, isTold: true });
    beliefs.set(key, ofPart);
    forgetOldest();
  };

  return {
    find: (salt, prompt) => {
      const held = new Map<string, HeldPrompt>();
      let tokens = 0;
      for (const part of reusableParts(prompt)) {
        tokens += part.tokens;
        for (const [holder, belief] of beliefs.get(keyOf(salt, part.id)) ?? []) {
          const { usedAt, isReady } = belief;
          if (isKept(holder, belief)) held.set(holder, { tokens, usedAt, isReady });
        }
      }
      return held;
    },
    note: (salt, prompt, holder, isReady) => {
      const keys = reusableParts(prompt).map(({ id }) => keyOf(salt, id));
      const news = keys.filter((key) => noteOne(key, holder, isReady));
      return news.at(-1) === keys.at(-1) ? keys.at(-1) : undefined;
    },
    deepestKey: (salt, prompt) => {
      const deepest = reusableParts(prompt).at(-1);
      return deepest === undefined ? undefined : keyOf(salt, deepest.id);
    },
    wasUsed: (key) => beliefs.has(key),
    noteChange: (store, { isKept: isKeptThere, salt, part }) => {
      const key = keyOf(salt, part);
      if (isKeptThere) noteTold(key, store);
      else beliefs.get(key)?.delete(store);
    },
    noteKey: (key, holder) => {
      noteOne(key, holder, true);
    },
    forget: (holder) => {
      for (const ofPart of beliefs.values()) ofPart.delete(holder);
    },
  };
};
