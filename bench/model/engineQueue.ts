/** What stands in a modelled engine's queues: as it reports it, and as only itself can know it. */
import type { EngineLoad, PrefixLevel } from "../../src/protocol/types.ts";
import type { PrefixCache } from "./prefixCache.ts";
import type { EngineJob } from "./types.ts";

/** A job with how far it has come. */
export interface Task {
  readonly job: EngineJob;
  readonly sequence: number;
  /** Prompt tokens cached or computed so far; 0 until begun. */
  doneTokens: number;
  begun: boolean;
  pinned: number;
  /** When decoding will be over. */
  endsAt: number;
  callOff: (() => void) | undefined;
}

/** An engine's cache and queues; the engine alone changes them. */
export interface EngineState {
  readonly cache: PrefixCache;
  /** Without a seat in the batch, the most urgent first. */
  readonly waiting: Task[];
  /** With a seat, prompt not yet computed, the most urgent first. */
  readonly prefilling: Task[];
  readonly decoding: Set<Task>;
  /** Whose chunk is being computed. */
  computing: Task | undefined;
}

/** What stands before a new request of some priority, as only the engine itself can know. */
export interface QueueView {
  /** Prompt tokens to be computed first. */
  readonly pendingTokens: number;
  /** Levels that will be cached once these have been computed. */
  readonly expectedKeys: ReadonlySet<string>;
  /** Milliseconds until a seat in the batch is free. */
  readonly slotWait: number;
}

/** At least the last token of a prompt is always computed. */
export const usableTokens = (levels: readonly PrefixLevel[], hits: number, promptTokens: number): number =>
  Math.min(levels[hits - 1]?.tokens ?? 0, promptTokens - 1);

const pendingOf = ({ job, doneTokens, begun }: Task, cache: PrefixCache): number => {
  const { levels, promptTokens } = job;
  return promptTokens - (begun ? doneTokens : usableTokens(levels, cache.hitLevels(levels), promptTokens));
};

/** The part of a load report that tells of queues and cache. */
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

/** Walks the queues in the order in which they will be computed, each prompt finding what those before it leave. */
export const viewQueue = (
  { cache, waiting, prefilling, computing }: EngineState,
  priority: number,
): Omit<QueueView, "seatWait"> => {
  const expectedKeys = new Set<string>();
  const isKnown = ({ key }: PrefixLevel): boolean => expectedKeys.has(key) || cache.has(key);
  let pendingTokens = 0;
  for (const task of [...prefilling, ...waiting]) {
    const { levels, promptTokens } = task.job;
    const missing = levels.findIndex((level) => !isKnown(level));
    const hits = missing < 0 ? levels.length : missing;
    const done = task.begun ? task.doneTokens : usableTokens(levels, hits, promptTokens);
    if (task.job.priority <= priority || task === computing) pendingTokens += promptTokens - done;
    for (const { key } of levels.slice(hits)) expectedKeys.add(key);
  }
  return { pendingTokens, expectedKeys };
};
