/** Queues of a simulated engine: the load that it reports, and a precise view that a real engine does not offer. */
import type { EngineLoad, PrefixLevel } from "../../src/protocol/types.ts";
import type { PrefixCache } from "./prefixCache.ts";
import type { EngineJob } from "./types.ts";

/** A job and its progress. */
export interface Task {
  readonly job: EngineJob;
  readonly sequence: number;
  /** Prompt tokens cached or computed so far; 0 until prefill starts. */
  doneTokens: number;
  isStarted: boolean;
  /** Number of leading levels that are pinned in the cache. */
  pinnedLevels: number;
  /** When decoding ends; infinite until it starts. */
  endsAt: number;
  cancelTimer: (() => void) | undefined;
}

/** An engine's cache and queues; only the engine modifies them. */
export interface EngineState {
  readonly cache: PrefixCache;
  /** Tasks without a slot in the batch, the most urgent first. */
  readonly waiting: Task[];
  /** Tasks with a slot whose prompts are not complete, the most urgent first. */
  readonly prefilling: Task[];
  readonly decoding: Set<Task>;
  /** The task whose chunk is being computed. */
  computing: Task | undefined;
}

/** The work ahead of a new request of some priority. */
export interface QueueView {
  /** Prompt tokens that are computed before the request's own. */
  readonly pendingTokens: number;
  /** Keys of the levels that will be cached once these prompts are computed. */
  readonly expectedKeys: ReadonlySet<string>;
  /** Time until a slot in the batch is free, milliseconds. */
  readonly slotWait: number;
}

/** @returns Cached tokens that a prompt can use: its last token is always computed. */
export const usableTokens = (levels: readonly PrefixLevel[], hits: number, promptTokens: number): number =>
  Math.min(levels[hits - 1]?.tokens ?? 0, promptTokens - 1);

const pendingOf = ({ job, doneTokens, isStarted: begun }: Task, cache: PrefixCache): number => {
  const { levels, promptTokens } = job;
  return promptTokens - (begun ? doneTokens : usableTokens(levels, cache.hitLevels(levels), promptTokens));
};

/** Returns the fields of a load report that describe queues and cache. */
export const describeLoad = ({
  cache,
  waiting,
  prefilling,
  decoding,
}: EngineState): Omit<EngineLoad, "incarnation" | "model" | "weightsVersion"> => ({
  adapters: [],
  role: "mixed",
  running: prefilling.length + decoding.size,
  waiting: waiting.length,
  pendingPromptTokens: [...waiting, ...prefilling].reduce((sum, task) => sum + pendingOf(task, cache), 0),
  cachedTokens: cache.usedTokens(),
  leaving: false,
});

/**
 * Walks the queues in the order of computation. Each prompt counts the levels that prompts before it add as cached.
 */
export const viewQueue = (
  { cache, waiting, prefilling, computing }: EngineState,
  priority: number,
): Omit<QueueView, "slotWait"> => {
  const expectedKeys = new Set<string>();
  const isKnown = ({ key }: PrefixLevel): boolean => expectedKeys.has(key) || cache.has(key);
  let pendingTokens = 0;
  for (const task of [...prefilling, ...waiting]) {
    const { levels, promptTokens } = task.job;
    const firstMissing = levels.findIndex((level) => !isKnown(level));
    const hits = firstMissing < 0 ? levels.length : firstMissing;
    const done = task.isStarted ? task.doneTokens : usableTokens(levels, hits, promptTokens);
    if (task.job.priority <= priority || task === computing) pendingTokens += promptTokens - done;
    for (const { key } of levels.slice(hits)) expectedKeys.add(key);
  }
  return { pendingTokens, expectedKeys };
};
