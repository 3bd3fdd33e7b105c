/** The engine stand-in's prompt cache: blocks with LRU eviction, and the cache events that it publishes. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { CacheEvent } from "../../src/protocol/types.ts";
import type { EngineSettings, EngineStandInFaults } from "./types.ts";

const maxEvents = 10_000;

/** The visible events from a sequence number on, and the number to continue from. */
export type EventPage = readonly [events: readonly CacheEvent[], nextSequence: number];

/** A cache of prompt blocks, identified by their hashes. */
export interface BlockCache {
  /** Counts the leading blocks that are cached and marks them as recently used. */
  readonly match: (blocks: readonly string[]) => number;
  readonly store: (blocks: readonly string[]) => void;
  readonly clear: () => void;
  readonly size: () => number;
  readonly events: (fromSequence: number) => EventPage;
}

type EventFaults = Pick<EngineStandInFaults, "eventDelayMilliseconds" | "eventLossRatio">;

/** Creates an empty cache, whose events start at sequence number 0. */
export const createBlockCache = (
  settings: Pick<EngineSettings, "cacheBlocks" | "evictAfterMilliseconds" | "seed">,
  faults: () => EventFaults,
): BlockCache => {
  /** Time of last use by block, least recently used first. */
  const lastUsedAt = new Map<string, number>();
  const random = xoroshiro128plus(settings.seed);
  let log: { readonly event: CacheEvent; readonly at: number; readonly lost: boolean }[] = [];
  let nextSequence = 0;

  const publish = (kind: CacheEvent["kind"], blocks: readonly string[]): void => {
    const lost = uniformFloat64(random) < faults().eventLossRatio;
    log.push({ event: { sequence: nextSequence, kind, blocks }, at: performance.now(), lost });
    nextSequence += 1;
    if (log.length > 2 * maxEvents) log = log.slice(-maxEvents);
  };

  const touch = (block: string): void => {
    lastUsedAt.delete(block);
    lastUsedAt.set(block, performance.now());
  };

  const evict = (): void => {
    const oldest = performance.now() - settings.evictAfterMilliseconds;
    const evicted: string[] = [];
    for (const [block, at] of lastUsedAt) {
      if (lastUsedAt.size <= settings.cacheBlocks && at >= oldest) break;
      lastUsedAt.delete(block);
      evicted.push(block);
    }
    if (evicted.length > 0) publish("evicted", evicted);
  };

  const match = (blocks: readonly string[]): number => {
    evict();
    const missing = blocks.findIndex((block) => !lastUsedAt.has(block));
    const count = missing === -1 ? blocks.length : missing;
    // Touches the last block first: eviction then drops the end of a chain and leaves a usable prefix.
    for (const block of blocks.slice(0, count).reverse()) touch(block);
    return count;
  };

  const store = (blocks: readonly string[]): void => {
    const added = blocks.filter((block) => !lastUsedAt.has(block));
    for (const block of [...blocks].reverse()) touch(block);
    if (added.length > 0) publish("stored", added);
    evict();
  };

  const clear = (): void => {
    lastUsedAt.clear();
    publish("cleared", []);
  };

  const size = (): number => {
    evict();
    return lastUsedAt.size;
  };

  const events = (fromSequence: number): EventPage => {
    evict();
    const until = performance.now() - faults().eventDelayMilliseconds;
    const due = log.filter(({ at }) => at <= until);
    const last = due.at(-1)?.event.sequence ?? -1;
    const visible = due.filter(({ event, lost }) => !lost && event.sequence >= fromSequence);
    return [visible.map(({ event }) => event), Math.max(fromSequence, last + 1)];
  };

  return { match, store, clear, size, events };
};
