/**
 * A model engine in simulated time: a small fake, not a simulator of a real one.
 *
 * Requests take a seat in the batch by priority; prompts are computed one chunk at a time, the most urgent
 * first, at a cost for each token that the cache does not hold; answers then decode side by side, a little
 * slower the fuller the batch is.
 */
import type { Clock } from "../../src/coordination/clock.ts";
import type { EngineLoad, PrefixLevel } from "../../src/protocol/types.ts";
import { describeLoad, usableTokens, viewQueue } from "./engineQueue.ts";
import type { EngineState, QueueView, Task } from "./engineQueue.ts";
import { createPrefixCache } from "./prefixCache.ts";
import type { CachedUnit, UnitEvent } from "./prefixCache.ts";
import type { EngineJob, EngineParameters } from "./types.ts";

/** Where an engine is and what it serves. */
export interface EngineIdentity {
  readonly id: string;
  readonly dataCentre: string;
  readonly model: string;
  readonly weightsVersion: string;
}

/** A modelled engine. */
export interface EngineModel extends EngineIdentity {
  /** @returns A function that cancels the job, or nothing if the engine is down. */
  readonly submit: (job: EngineJob) => (() => void) | undefined;
  readonly load: () => EngineLoad;
  readonly isUp: () => boolean;
  /** Fails all jobs and loses the cache. */
  readonly crash: () => void;
  readonly restart: () => void;
  /** Tokens of the prompt's deepest level that is cached now. */
  readonly cachedTokens: (levels: readonly PrefixLevel[]) => number;
  readonly isCached: (key: string) => boolean;
  /** What the cache would lose for so many more tokens. */
  readonly wouldEvict: (tokens: number) => readonly CachedUnit[];
  readonly queueView: (priority: number) => QueueView;
  /** Milliseconds spent computing prompts so far. */
  readonly prefillTime: () => number;
}

const newTask = (job: EngineJob, sequence: number): Task => ({
  job,
  sequence,
  doneTokens: 0,
  begun: false,
  pinned: 0,
  endsAt: Infinity,
  callOff: undefined,
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
 * Makes an idle engine with an empty cache.
 *
 * @param tell - Told of every change of the cache.
 */
export const createEngineModel = (
  identity: EngineIdentity,
  parameters: EngineParameters,
  clock: Clock,
  tell?: (event: UnitEvent) => void,
): EngineModel => {
  const cache = createPrefixCache(parameters.cacheTokens, tell);
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
  let up = true;
  let prefillTime = 0;

  const running = (): number => prefilling.length + decoding.size;

  const seatWait = (): number => {
    if (running() < parameters.maximumRunning) return 0;
    const soonest = [...decoding].reduce((least, task) => Math.min(least, task.endsAt), Infinity);
    return soonest === Infinity ? 0 : soonest - clock.monotonic();
  };

  const remove = (task: Task): void => {
    removeFrom(waiting, task);
    removeFrom(prefilling, task);
    decoding.delete(task);
    task.callOff?.();
    if (state.computing === task) state.computing = undefined;
    for (const { key } of task.job.levels.slice(0, task.pinned)) cache.unpin(key);
  };

  /** The cache that it pinned is gone. */
  const forget = (task: Task): void => {
    task.callOff?.();
    task.pinned = 0;
  };

  const finish = (task: Task): void => {
    cache.grow(task.job.levels.at(-1)?.key ?? "", task.job.outputTokens);
    remove(task);
    pump();
    task.job.onEnd("finished");
  };

  const startDecoding = (task: Task): void => {
    removeFrom(prefilling, task);
    decoding.add(task);
    const interval = parameters.decodeInterval + parameters.decodeSlowdown * (running() - 1);
    const duration = interval * (task.job.outputTokens - 1);
    task.endsAt = clock.monotonic() + duration;
    task.callOff = clock.after(duration, () => finish(task));
    task.job.onFirstToken();
  };

  const begin = (task: Task): void => {
    const { levels, promptTokens, onStart } = task.job;
    const hits = cache.hitLevels(levels);
    task.begun = true;
    task.doneTokens = usableTokens(levels, hits, promptTokens);
    onStart(task.doneTokens);
    for (; task.pinned < hits; task.pinned += 1) cache.pin(levels, task.pinned);
  };

  const endChunk = (task: Task, tokens: number, duration: number): void => {
    prefillTime += duration;
    state.computing = undefined;
    task.callOff = undefined;
    task.doneTokens += tokens;
    const { levels, promptTokens } = task.job;
    while (task.pinned < levels.length && (levels[task.pinned]?.tokens ?? 0) <= task.doneTokens) {
      cache.pin(levels, task.pinned);
      task.pinned += 1;
    }
    if (task.doneTokens >= promptTokens) startDecoding(task);
    pump();
  };

  const startChunk = (task: Task): void => {
    const overhead = task.begun ? 0 : parameters.prefillOverhead;
    if (!task.begun) begin(task);
    const tokens = Math.min(parameters.chunkTokens, task.job.promptTokens - task.doneTokens);
    const duration = overhead + (tokens * 1000) / parameters.prefillTokensPerSecond;
    state.computing = task;
    task.callOff = clock.after(duration, () => endChunk(task, tokens, duration));
  };

  const pump = (): void => {
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
      if (!up) return undefined;
      sequence += 1;
      const task = newTask(job, sequence);
      insertByUrgency(waiting, task);
      pump();
      return () => {
        remove(task);
        pump();
      };
    },
    load: () => ({
      incarnation: `${identity.id}#${incarnation}`,
      model: identity.model,
      weightsVersion: identity.weightsVersion,
      ...describeLoad(state),
    }),
    isUp: () => up,
    crash: () => {
      const lost = [...waiting.splice(0), ...prefilling.splice(0), ...decoding];
      for (const task of lost) forget(task);
      decoding.clear();
      state.computing = undefined;
      cache.clear();
      incarnation += 1;
      up = false;
      for (const task of lost) task.job.onEnd("failed");
    },
    restart: () => {
      up = true;
    },
    cachedTokens: (levels) => levels[cache.hitLevels(levels) - 1]?.tokens ?? 0,
    isCached: cache.has,
    wouldEvict: cache.wouldEvict,
    queueView: (priority) => ({ ...viewQueue(state, priority), slotWait: seatWait() }),
    prefillTime: () => prefillTime,
  };
};
