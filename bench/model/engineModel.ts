/**
 * A simple inference engine in simulated time; it does not reproduce a particular real engine.
 *
 * Requests take a slot in the batch by priority. Prompts are prefilled one chunk at a time, the most urgent first,
 * at a cost for each token that is not cached. Answers then decode concurrently, slower with each further request
 * in the batch.
 */
import type { Clock } from "../../src/coordination/clock.ts";
import type { EngineLoad, PrefixLevel } from "../../src/protocol/types.ts";
import { describeLoad, usableTokens, viewQueue } from "./engineQueue.ts";
import type { EngineState, QueueView, Task } from "./engineQueue.ts";
import { createPrefixCache } from "./prefixCache.ts";
import type { CachedUnit, UnitEvent } from "./prefixCache.ts";
import type { EngineJob, EngineParameters } from "./types.ts";

/** Name, location and model of an engine. */
export interface EngineIdentity {
  readonly id: string;
  readonly dataCentre: string;
  readonly model: string;
  readonly weightsVersion: string;
}

/** A simulated engine. */
export interface EngineModel extends EngineIdentity {
  /** @returns A function that cancels the job, or `undefined` if the engine is down. */
  readonly submit: (job: EngineJob) => (() => void) | undefined;
  readonly load: () => EngineLoad;
  readonly isUp: () => boolean;
  /** Fails all jobs and loses the cache. */
  readonly crash: () => void;
  readonly restart: () => void;
  /** Tokens of the prompt's deepest cached level. */
  readonly cachedTokens: (levels: readonly PrefixLevel[]) => number;
  readonly isCached: (key: string) => boolean;
  /** The units that storing this many more tokens would evict. */
  readonly wouldEvict: (tokens: number) => readonly CachedUnit[];
  readonly queueView: (priority: number) => QueueView;
  /** Time spent on prefill so far, milliseconds. */
  readonly prefillTime: () => number;
}

const newTask = (job: EngineJob, sequence: number): Task => ({
  job,
  sequence,
  doneTokens: 0,
  isStarted: false,
  pinnedLevels: 0,
  endsAt: Infinity,
  cancelTimer: undefined,
});

const isMoreUrgent = (left: Task, right: Task): boolean =>
  left.job.priority < right.job.priority ||
  (left.job.priority === right.job.priority && left.sequence < right.sequence);

const insertByUrgency = (queue: Task[], task: Task): void => {
  let index = queue.length;
  for (let before = queue[index - 1]; before !== undefined; before = queue[index - 1]) {
    if (!isMoreUrgent(task, before)) break;
    index -= 1;
  }
  queue.splice(index, 0, task);
};

const removeFrom = (queue: Task[], task: Task): void => {
  const index = queue.indexOf(task);
  if (index >= 0) queue.splice(index, 1);
};

/**
 * Creates an idle engine with an empty cache.
 *
 * @param onCacheEvent - Called for every change of the cache.
 */
export const createEngineModel = (
  identity: EngineIdentity,
  parameters: EngineParameters,
  clock: Clock,
  onCacheEvent?: (event: UnitEvent) => void,
): EngineModel => {
  const cache = createPrefixCache(parameters.cacheTokens, onCacheEvent);
  const state: EngineState = {
    cache,
    waiting: [],
    prefilling: [],
    decoding: new Set(),
    computing: undefined,
  };
  const { waiting, prefilling, decoding } = state;
  let sequence = 0;
  let incarnation = 1;
  let isUp = true;
  let prefillTime = 0;

  const running = (): number => prefilling.length + decoding.size;

  const slotWait = (): number => {
    if (running() < parameters.maximumRunning) return 0;
    const earliestEnd = [...decoding].reduce((least, task) => Math.min(least, task.endsAt), Infinity);
    return earliestEnd === Infinity ? 0 : earliestEnd - clock.monotonic();
  };

  const remove = (task: Task): void => {
    removeFrom(waiting, task);
    removeFrom(prefilling, task);
    decoding.delete(task);
    task.cancelTimer?.();
    if (state.computing === task) state.computing = undefined;
    for (const { key } of task.job.levels.slice(0, task.pinnedLevels)) cache.unpin(key);
  };

  /** Ends a task in a crash, without unpinning: its pinned levels are lost with the cache. */
  const discard = (task: Task): void => {
    task.cancelTimer?.();
    task.pinnedLevels = 0;
  };

  const finish = (task: Task): void => {
    cache.grow(task.job.levels.at(-1)?.key ?? "", task.job.outputTokens);
    remove(task);
    schedule();
    task.job.onEnd("finished");
  };

  const startDecoding = (task: Task): void => {
    removeFrom(prefilling, task);
    decoding.add(task);
    const interval = parameters.decodeInterval + parameters.decodeSlowdown * (running() - 1);
    const duration = interval * (task.job.outputTokens - 1);
    task.endsAt = clock.monotonic() + duration;
    task.cancelTimer = clock.after(duration, () => finish(task));
    task.job.onFirstToken();
  };

  const startPrefill = (task: Task): void => {
    const { levels, promptTokens, onStart } = task.job;
    const hits = cache.hitLevels(levels);
    task.isStarted = true;
    task.doneTokens = usableTokens(levels, hits, promptTokens);
    onStart(task.doneTokens);
    for (; task.pinnedLevels < hits; task.pinnedLevels += 1) cache.pin(levels, task.pinnedLevels);
  };

  const endChunk = (task: Task, tokens: number, duration: number): void => {
    prefillTime += duration;
    state.computing = undefined;
    task.cancelTimer = undefined;
    task.doneTokens += tokens;
    const { levels, promptTokens } = task.job;
    while (task.pinnedLevels < levels.length && (levels[task.pinnedLevels]?.tokens ?? 0) <= task.doneTokens) {
      cache.pin(levels, task.pinnedLevels);
      task.pinnedLevels += 1;
    }
    if (task.doneTokens >= promptTokens) startDecoding(task);
    schedule();
  };

  const startChunk = (task: Task): void => {
    const overhead = task.isStarted ? 0 : parameters.prefillOverhead;
    if (!task.isStarted) startPrefill(task);
    const tokens = Math.min(parameters.chunkTokens, task.job.promptTokens - task.doneTokens);
    const duration = overhead + (tokens * 1000) / parameters.prefillTokensPerSecond;
    state.computing = task;
    task.cancelTimer = clock.after(duration, () => endChunk(task, tokens, duration));
  };

  const schedule = (): void => {
    while (waiting.length > 0 && running() < parameters.maximumRunning) {
      const next = waiting.shift();
      if (next !== undefined) insertByUrgency(prefilling, next);
    }
    const [next] = prefilling;
    if (state.computing === undefined && next !== undefined) startChunk(next);
  };

  return {
    ...identity,
    submit: (job) => {
      if (!isUp) return undefined;
      sequence += 1;
      const task = newTask(job, sequence);
      insertByUrgency(waiting, task);
      schedule();
      return () => {
        remove(task);
        schedule();
      };
    },
    load: () => ({
      incarnation: `${identity.id}#${incarnation}`,
      model: identity.model,
      weightsVersion: identity.weightsVersion,
      ...describeLoad(state),
    }),
    isUp: () => isUp,
    crash: () => {
      const lost = [...waiting.splice(0), ...prefilling.splice(0), ...decoding];
      for (const task of lost) discard(task);
      decoding.clear();
      state.computing = undefined;
      cache.clear();
      incarnation += 1;
      isUp = false;
      for (const task of lost) task.job.onEnd("failed");
    },
    restart: () => {
      isUp = true;
    },
    cachedTokens: (levels) => levels[cache.hitLevels(levels) - 1]?.tokens ?? 0,
    isCached: cache.has,
    wouldEvict: cache.wouldEvict,
    queueView: (priority) => ({ ...viewQueue(state, priority), slotWait: slotWait() }),
    prefillTime: () => prefillTime,
  };
};
