/**
 * An inference engine with continuous batching in simulated time. Each step generates one token of every running answer
 * and prefills a chunk of the prompts that are not complete. Running requests and cached prompt parts share the memory:
 * the least recently used parts are evicted first, and if there are none, the newest of the least urgent requests is
 * preempted and later computed from the start.
 */
import { createPrefixCache } from "../model/prefixCache.ts";
import type { EngineSpecification } from "./experiment.ts";
import type { BatchJob, BatchState, BatchEnvironment, CacheEndpoint, Task } from "./batchTypes.ts";
import {
  admitWaiting,
  countComputed,
  enqueue,
  pinDoneLevels,
  preempt,
  promptTokensOf,
  removeTask,
  savePrompt,
} from "./batchState.ts";

/** An engine that a run submits jobs to and injects faults into. */
export interface BatchEngine extends CacheEndpoint {
  /** @returns A function that cancels the job; `undefined` if the engine is down. */
  readonly submit: (job: BatchJob) => (() => void) | undefined;
  /**
   * Drops all jobs and the cache.
   *
   * @param isUnreachable - Whether the jobs end without `onEnd`, as if the engine had become unreachable.
   */
  readonly crash: (isUnreachable: boolean) => void;
  readonly restart: () => void;
  /** Sets the speed as a factor of the specified one, from the next step on. */
  readonly setSpeed: (speed: number) => void;
  /** Evicts the cached parts that no running request uses; running requests continue. */
  readonly dropCache: () => void;
}

/** Tokens of an answer in one event of its stream. */
const tokensPerEvent = 4;

/** Consecutive tokens of a prompt that one step computes. */
interface PrefillChunk {
  readonly task: Task;
  readonly from: number;
  readonly tokens: number;
}

/** Distributes the prompt tokens of a step over the tasks with incomplete prompts, in order. */
const planPrefillChunks = (tasks: readonly Task[], maximumTokens: number): readonly PrefillChunk[] => {
  const chunks: PrefillChunk[] = [];
  let remaining = maximumTokens;
  for (const task of tasks) {
    const tokens = Math.min(promptTokensOf(task) - task.doneTokens, remaining);
    if (tokens > 0) chunks.push({ task, from: task.doneTokens, tokens });
    remaining -= Math.max(0, tokens);
  }
  return chunks;
};

/**
 * Creates an idle engine with an empty cache.
 *
 * @param environment - What the engines of a run share.
 */
export const createBatchEngine = (
  specification: EngineSpecification,
  dataCentre: string,
  environment: BatchEnvironment,
): BatchEngine => {
  const { clock } = environment;
  const state: BatchState = {
    ...environment,
    specification,
    cache: createPrefixCache(specification.memoryTokens),
    link: { dataCentre, megabitsPerSecond: specification.linkMegabits, freeAt: 0 },
    waiting: [],
    running: [],
  };
  const { cache, link } = state;
  let sequence = 0;
  let isUp = true;
  let cancelStep: (() => void) | undefined;
  let speed = 1;

  const isRunning = (task: Task): boolean => state.running.includes(task);

  const generateToken = (task: Task): void => {
    task.generatedTokens += 1;
    const isFinished = task.generatedTokens >= task.job.answerTokens;
    if (task.generatedTokens === 1) {
      cache.grow(task.job.levels.at(-1)?.key ?? "", task.job.answerTokens);
      savePrompt(state, task);
    }
    if (task.generatedTokens === 1 || isFinished || task.generatedTokens % tokensPerEvent === 0)
      task.job.onEvent();
    if (!isFinished) return;
    removeTask(state, task);
    task.job.onEnd("finished");
  };

  const endStep = (chunks: readonly PrefillChunk[], decoding: readonly Task[]): void => {
    cancelStep = undefined;
    for (const { task, from, tokens } of chunks) {
      if (!isRunning(task)) continue;
      task.doneTokens += tokens;
      countComputed(state, task, from);
      pinDoneLevels(state, task);
    }
    preempt(state);
    decoding.filter(isRunning).forEach(generateToken);
    advance();
  };

  const startStep = (): void => {
    const active = state.running.filter(({ isCopying }) => !isCopying);
    const decoding = active.filter((task) => task.doneTokens >= promptTokensOf(task));
    const chunks = planPrefillChunks(active, specification.chunkTokens);
    const computed = chunks.reduce((sum, { tokens }) => sum + tokens, 0);
    const { step, stepPerRequest, prefillRate } = specification;
    const duration = (step + stepPerRequest * active.length + computed / prefillRate) / speed;
    cancelStep = clock.after(duration, () => endStep(chunks, decoding));
  };

  const advance = (): void => {
    if (!isUp || cancelStep !== undefined) return;
    admitWaiting(state, advance);
    if (state.running.some(({ isCopying }) => !isCopying)) startStep();
  };

  return {
    link,
    cache,
    submit: (job) => {
      if (!isUp) return undefined;
      sequence += 1;
      const task = { job, sequence, doneTokens: 0, pinnedLevels: 0, generatedTokens: 0, isCopying: false };
      enqueue(state, task);
      advance();
      return () => {
        removeTask(state, task);
        advance();
      };
    },
    crash: (isUnreachable) => {
      const lost = [...state.waiting, ...state.running];
      state.waiting = [];
      state.running = [];
      cancelStep?.();
      cancelStep = undefined;
      isUp = false;
      cache.clear();
      if (!isUnreachable) for (const { job } of lost) job.onEnd("failed");
    },
    restart: () => {
      isUp = true;
    },
    setSpeed: (factor) => {
      speed = factor;
    },
    dropCache: cache.dropUnpinned,
  };
};
