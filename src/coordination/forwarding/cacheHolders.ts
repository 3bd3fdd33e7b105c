/**
 * Tracks which replicas and stores cache which prompt parts, inferred from the prompts that were sent there.
 *
 * Engines evict the least recently used parts when their memory is full. So an entry expires once the replica has
 * computed as many tokens since the part's last use as its memory holds.
 */
import { hash32 } from "../../protocol/prefixLevels.ts";
import type { CacheChange, Prompt } from "../../protocol/forwarding/types.ts";
import type { Clock } from "../clock.ts";
import { computingTtl, holderTtl, maxTrackedParts } from "./constants.ts";

/** How much of a prompt a replica or store is assumed to cache. */
export interface CachedPrompt {
  /** Tokens that it caches or is computing: later requests to it will find them cached. */
  readonly tokens: number;
  /** Tokens that others can copy from it. */
  readonly readyTokens: number;
  /** Key of the deepest of its parts while that is being computed; `undefined` once it is ready. */
  readonly computingKey: number | undefined;
  /** When the deepest part was last used there, milliseconds on the monotonic clock. */
  readonly usedAt: number;
}

/** A replica or store that caches or computes a part. */
export interface PartHolder {
  readonly holder: string;
  readonly isReady: boolean;
}

/** Maps prompt parts to the replicas and stores that hold them. Parts are identified by keys: hashes of salt and id. */
export interface CacheHolders {
  /** @returns By replica or store: how much of the prompt's reusable parts it is assumed to cache. */
  readonly find: (salt: string, prompt: Prompt) => ReadonlyMap<string, CachedPrompt>;
  /**
   * Records that a holder is computing the prompt (not ready), or has computed or copied it (ready).
   *
   * @returns The keys of the prompt's reusable parts, to be announced to peers.
   */
  readonly notePrompt: (salt: string, prompt: Prompt, holder: string, isReady: boolean) => readonly number[];
  /** @returns The key of the deepest reusable part; `undefined` if there is none. */
  readonly deepestKey: (salt: string, prompt: Prompt) => number | undefined;
  /** @returns Whether a part was used before, even if no holder is known any more. */
  readonly wasUsed: (key: number) => boolean;
  /** Records that other routers have used a part before, whether or not a holder is known. */
  readonly noteUsed: (key: number) => void;
  /** @returns The holders assumed to cache or compute a part. */
  readonly holdersOf: (key: number) => readonly PartHolder[];
  /** @returns The keys of a prompt's reusable parts. */
  readonly keysOf: (salt: string, prompt: Prompt) => readonly number[];
  /** Records that a cache store reports a part as saved or dropped. */
  readonly noteStoreChange: (store: string, change: CacheChange) => void;
  /** Records a part that a peer announced. */
  readonly notePart: (key: number, holder: string, isReady: boolean) => void;
  /**
   * @param callback - Called once, when the part becomes ready.
   * @returns A function that cancels the callback.
   */
  readonly whenReady: (key: number, callback: () => void) => () => void;
  /** Removes a holder that is gone or has lost its cache. */
  readonly forget: (holder: string) => void;
}

export interface CacheHoldersDependencies {
  readonly clock: Clock;
  /** @returns Tokens that a replica has computed in total so far. */
  readonly computedTokens: (holder: string) => number;
  /** @returns Tokens that fit into a replica's cache memory. */
  readonly memoryTokens: (holder: string) => number;
}

interface CacheEntry {
  readonly usedAt: number;
  /** Tokens that the holder had computed in total by then. */
  readonly computedBefore: number;
  readonly isReady: boolean;
  /** The holder itself reports when it drops the part, so the entry does not expire. */
  readonly isReportedByHolder: boolean;
}

/** @returns The parts that other requests may share: all but the last. */
export const reusableParts = ({ parts }: Prompt): Prompt["parts"] => parts.slice(0, -1);

/** Short, since keys are sent between routers; a collision only costs a copy that finds nothing. */
const keyOf = (salt: string, id: string): number => hash32(`${salt}\u0000${id}`);

const keysOf = (salt: string, prompt: Prompt): readonly number[] =>
  reusableParts(prompt).map(({ id }) => keyOf(salt, id));

/** Creates a map without entries. */
export const createCacheHolders = (dependencies: CacheHoldersDependencies): CacheHolders => {
  const { clock, computedTokens, memoryTokens } = dependencies;
  /** By part key: callbacks that wait for the part to be computed. */
  const waiting = new Map<number, Set<() => void>>();
  /** By part key and holder. Kept in order of use, the least recently used part first. */
  const entriesByPart = new Map<number, Map<string, CacheEntry>>();

  const isCurrent = (
    holder: string,
    { usedAt, computedBefore, isReady, isReportedByHolder }: CacheEntry,
  ): boolean =>
    isReportedByHolder ||
    (clock.monotonic() - usedAt < (isReady ? holderTtl : computingTtl) &&
      computedTokens(holder) - computedBefore < memoryTokens(holder));

  const notifyWaiting = (key: number): void => {
    const callbacks = waiting.get(key);
    waiting.delete(key);
    for (const callback of callbacks ?? []) callback();
  };

  const evictOldest = (): void => {
    const oldest = entriesByPart.size > maxTrackedParts ? entriesByPart.keys().next().value : undefined;
    if (oldest !== undefined) entriesByPart.delete(oldest);
  };

  const noteUse = (key: number, holder: string, isReady: boolean): void => {
    const byHolder = entriesByPart.get(key) ?? new Map<string, CacheEntry>();
    const before = byHolder.get(holder);
    const wasReady = before?.isReady === true && isCurrent(holder, before);
    const usedAt = clock.monotonic();
    const computedBefore = computedTokens(holder);
    byHolder.set(holder, {
      usedAt,
      computedBefore,
      isReady: isReady || wasReady,
      isReportedByHolder: before?.isReportedByHolder === true,
    });
    entriesByPart.delete(key);
    entriesByPart.set(key, byHolder);
    evictOldest();
    if (isReady) notifyWaiting(key);
  };

  const noteReported = (key: number, holder: string): void => {
    const byHolder = entriesByPart.get(key) ?? new Map<string, CacheEntry>();
    byHolder.set(holder, {
      usedAt: clock.monotonic(),
      computedBefore: 0,
      isReady: true,
      isReportedByHolder: true,
    });
    entriesByPart.set(key, byHolder);
    evictOldest();
  };

  return {
    find: (salt, prompt) => {
      const cached = new Map<string, CachedPrompt>();
      let tokens = 0;
      for (const part of reusableParts(prompt)) {
        tokens += part.tokens;
        const key = keyOf(salt, part.id);
        for (const [holder, entry] of entriesByPart.get(key) ?? []) {
          if (!isCurrent(holder, entry)) continue;
          const { isReady, usedAt } = entry;
          const readyTokens = isReady ? tokens : (cached.get(holder)?.readyTokens ?? 0);
          cached.set(holder, { tokens, readyTokens, computingKey: isReady ? undefined : key, usedAt });
        }
      }
      return cached;
    },
    notePrompt: (salt, prompt, holder, isReady) => {
      const keys = keysOf(salt, prompt);
      for (const key of keys) noteUse(key, holder, isReady);
      return keys;
    },
    deepestKey: (salt, prompt) => {
      const deepest = reusableParts(prompt).at(-1);
      return deepest === undefined ? undefined : keyOf(salt, deepest.id);
    },
    holdersOf: (key) =>
      [...(entriesByPart.get(key) ?? [])].flatMap(([holder, entry]) =>
        isCurrent(holder, entry) ? [{ holder, isReady: entry.isReady }] : [],
      ),
    keysOf,
    wasUsed: (key) => entriesByPart.has(key),
    noteUsed: (key) => {
      if (entriesByPart.has(key)) return;
      entriesByPart.set(key, new Map());
      evictOldest();
    },
    noteStoreChange: (store, { isStored, salt, part }) => {
      const key = keyOf(salt, part);
      if (isStored) noteReported(key, store);
      else entriesByPart.get(key)?.delete(store);
    },
    notePart: (key, holder, isReady) => {
      noteUse(key, holder, isReady);
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
      for (const byHolder of entriesByPart.values()) byHolder.delete(holder);
    },
  };
};
