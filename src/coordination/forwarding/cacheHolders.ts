/**
 * Which replicas are believed to keep which prompt parts, by what was sent there.
 *
 * Engines drop what was used longest ago when their memory is full. So a belief ends once as many tokens have been
 * computed there since as the memory holds.
 */
import { hash32 } from "../../protocol/prefixLevels.ts";
import type { CacheChange, Prompt } from "../../protocol/forwarding/types.ts";
import type { Clock } from "../clock.ts";
import { computingMemory, holderMemory, mostParts } from "./constants.ts";

/** How much of a prompt a replica is believed to keep. */
export interface HeldPrompt {
  /** Tokens that it keeps or is computing: what is sent there later will find them. */
  readonly tokens: number;
  /** Tokens that others can copy from there. */
  readonly readyTokens: number;
  /** The key of the deepest part that it is computing. */
  readonly computing: number | undefined;
  /** When it was last used there, milliseconds on the monotonic clock. */
  readonly usedAt: number;
}

/** Who keeps or computes a part. */
export interface PartHolder {
  readonly holder: string;
  readonly isReady: boolean;
}

/** See {@link createCacheHolders}. */
export interface CacheHolders {
  /** @returns By replica: how much of the prompt's reusable parts it is believed to keep. */
  readonly find: (salt: string, prompt: Prompt) => ReadonlyMap<string, HeldPrompt>;
  /**
   * A replica computes the prompt, or has computed or copied it.
   *
   * @returns The keys of its reusable parts, for others to be told.
   */
  readonly notePrompt: (salt: string, prompt: Prompt, holder: string, isReady: boolean) => readonly number[];
  /** @returns The key of the deepest part that others may share; nothing if there is none. */
  readonly deepestKey: (salt: string, prompt: Prompt) => number | undefined;
  /** @returns Whether a part was used before, wherever it is by now. */
  readonly wasUsed: (key: number) => boolean;
  /** @returns Those believed to keep or compute a part. @param key - The part's. */
  readonly holdersOf: (key: number) => readonly PartHolder[];
  /** @returns The keys of a prompt's reusable parts. */
  readonly keysOf: (salt: string, prompt: Prompt) => readonly number[];
  /** A store of prompt parts tells what it keeps. */
  readonly noteStoreChange: (store: string, change: CacheChange) => void;
  /** A peer tells of a part. */
  readonly notePart: (key: number, holder: string, isReady: boolean) => void;
  /** @returns A function that calls it off. @param callback - Called once as soon as the part can be used. */
  readonly whenReady: (key: number, callback: () => void) => () => void;
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

const keysOf = (salt: string, prompt: Prompt): readonly number[] =>
  reusableParts(prompt).map(({ id }) => keyOf(salt, id));

/** Creates beliefs about nothing. */
export const createCacheHolders = (parts: CacheHoldersParts): CacheHolders => {
  const { clock, computedTokens, memoryTokens } = parts;
  /** By part: who waits for it to be computed. */
  const waiting = new Map<number, Set<() => void>>();
  /** The part that was used longest ago comes first. */
  const beliefs = new Map<number, Map<string, Belief>>();

  const isKept = (holder: string, { usedAt, computed, isReady, isTold }: Belief): boolean =>
    isTold ||
    (clock.monotonic() - usedAt < (isReady ? holderMemory : computingMemory) &&
      computedTokens(holder) - computed < memoryTokens(holder));

  const wakeWaiting = (key: number): void => {
    const callbacks = waiting.get(key);
    waiting.delete(key);
    for (const callback of callbacks ?? []) callback();
  };

  const forgetOldest = (): void => {
    const oldest = beliefs.size > mostParts ? beliefs.keys().next().value : undefined;
    if (oldest !== undefined) beliefs.delete(oldest);
  };

  const noteOne = (key: number, holder: string, isReady: boolean): void => {
    const ofPart = beliefs.get(key) ?? new Map<string, Belief>();
    const before = ofPart.get(holder);
    const wasReady = before?.isReady === true && isKept(holder, before);
    const usedAt = clock.monotonic();
    const computed = computedTokens(holder);
    ofPart.set(holder, { usedAt, computed, isReady: isReady || wasReady, isTold: before?.isTold === true });
    beliefs.delete(key);
    beliefs.set(key, ofPart);
    forgetOldest();
    if (isReady) wakeWaiting(key);
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
        const key = keyOf(salt, part.id);
        for (const [holder, belief] of beliefs.get(key) ?? []) {
          if (!isKept(holder, belief)) continue;
          const { isReady, usedAt } = belief;
          const readyTokens = isReady ? tokens : (held.get(holder)?.readyTokens ?? 0);
          held.set(holder, { tokens, readyTokens, computing: isReady ? undefined : key, usedAt });
        }
      }
      return held;
    },
    notePrompt: (salt, prompt, holder, isReady) => {
      const keys = keysOf(salt, prompt);
      for (const key of keys) noteOne(key, holder, isReady);
      return keys;
    },
    deepestKey: (salt, prompt) => {
      const deepest = reusableParts(prompt).at(-1);
      return deepest === undefined ? undefined : keyOf(salt, deepest.id);
    },
    holdersOf: (key) =>
      [...(beliefs.get(key) ?? [])].flatMap(([holder, belief]) =>
        isKept(holder, belief) ? [{ holder, isReady: belief.isReady }] : [],
      ),
    keysOf,
    wasUsed: (key) => beliefs.has(key),
    noteStoreChange: (store, { isStored: isKeptThere, salt, part }) => {
      const key = keyOf(salt, part);
      if (isKeptThere) noteTold(key, store);
      else beliefs.get(key)?.delete(store);
    },
    notePart: (key, holder, isReady) => {
      noteOne(key, holder, isReady);
    },
    whenReady: (key, callback) => {
      const callbacks = waiting.get(key) ?? new Set();
      waiting.set(key, callbacks);
      callbacks.add(callback);
      return () => {
        callbacks.delete(callback);
        if (callbacks.size === 0 && waiting.get(key) === callbacks) waiting.delete(key);
      };
    },
    forget: (holder) => {
      for (const ofPart of beliefs.values()) ofPart.delete(holder);
    },
  };
};
