/**
 * A model engine in simulated time that computes in steps: in each step one token for every answer under way, and a
 * chunk of the prompts that are not computed yet. Running requests and cached parts share its memory; the parts
 * used longest ago yield, and where none is left the newest of the least urgent requests is put back and computed
 * anew.
 */
import { createPrefixCache } from "../model/prefixCache.ts";
import type { EngineSpecification } from "./experiment.ts";
import type { BatchJob, BatchState, BatchEnvironment, CacheEndpoint, Task } from "./batchTypes.ts";
import {
  admitWaiting,
  countComputed,
  enqueue,
  pinDone,
  preempt,
  promptTokensOf,
  removeTask,
  saveParts,
} from "./batchState.ts";

/** See {@link createBatchEngine}. */
export interface BatchEngine extends CacheEndpoint {
  /** @returns A function that cancels the job; nothing if the engine is down. */
  readonly submit: (job: BatchJob) => (() => void) | undefined;
  /** Fails all work and loses the cache. @param isSilent - Callers hear nothing of it. */
  readonly crash: (isSilent: boolean) => void;
  readonly restart: () => void;
  /** What is kept is of no use any more; runs go on. */
  readonly dropCache: () => void;
}

/** Tokens of an answer that its caller gets together. */
const pieceTokens = 4;

/** A part of a prompt that one step computes. */
interface Chunk {
  readonly task: Task;
  readonly from: number;
  readonly tokens: number;
}

/** Divides a step's prompt tokens among the tasks whose prompts are not there, in their order. */
const planChunks = (tasks: readonly Task[], most: number): readonly Chunk[] => {
  const chunks: Chunk[] = [];
  let left = most;
  for (const task of tasks) {
    const tokens = Math.min(promptTokensOf(task) - task.doneTokens, left);
    if (tokens > 0) chunks.push({ task, from: task.doneTokens, tokens });
    left -= Math.max(0, tokens);
  }
  return chunks;
};

/** Creates an idle engine. */
export const createBatchEngine = (
  specification: EngineSpecification,
  dataCentre: string,
  surroundings: BatchEnvironment,
): BatchEngine => {
  const { clock } = surroundings;
  const state: BatchState = {
    ...surroundings,
    specification,
    cache: createPrefixCache(specification.memoryTokens),
    link: { dataCentre, megabitsPerSecond: specification.linkMegabits, freeAt: 0 },
    waiting: [],
    running: [],
  };
  const { cache, link } = state;
  let sequence = 0;
  let isUp = true;
  let callOffStep: (() => void) | undefined;

  const isRunning = (task: Task): boolean => state.running.includes(task);

  const makeToken = (task: Task): void => {
    task.generatedTokens += 1;
    const isOver = task.generatedTokens >= task.job.answerTokens;
    if (task.generatedTokens === 1) {
      cache.grow(task.job.levels.at(-1)?.key ?? "", task.job.answerTokens);
      saveParts(state, task);
    }
    if (task.generatedTokens === 1 || isOver || task.generatedTokens % pieceTokens === 0) task.job.onEvent();
    if (!isOver) return;
    removeTask(state, task);
    task.job.onEnd("finished");
  };

  const endStep = (chunks: readonly Chunk[], decoding: readonly Task[]): void => {
    callOffStep = undefined;
    for (const { task, from, tokens } of chunks) {
      if (!isRunning(task)) continue;
      task.doneTokens += tokens;
      countComputed(state, task, from);
      pinDone(state, task);
    }
    preempt(state);
    decoding.filter(isRunning).forEach(makeToken);
    pump();
  };

  const startStep = (): void => {
    const active = state.running.filter(({ isCopying }) => !isCopying);
    const decoding = active.filter((task) => task.doneTokens >= promptTokensOf(task));
    const chunks = planChunks(active, specification.chunkTokens);
    const computed = chunks.reduce((sum, { tokens }) => sum + tokens, 0);
    const { step, stepPerRequest, prefillRate } = specification;
    const duration = step + stepPerRequest * active.length + computed / prefillRate;
    callOffStep = clock.after(duration, () => endStep(chunks, decoding));
  };

  const pump = (): void => {
    if (!isUp || callOffStep !== undefined) return;
    admitWaiting(state, pump);
    if (state.running.some(({ isCopying }) => !isCopying)) startStep();
  };

  return {
    link,
    cache,
    submit: (job) => {
      if (!isUp) return undefined;
      sequence += 1;
      const task = { job, sequence, done: 0, pinned: 0, made: 0, isCopying: false };
      enqueue(state, task);
      pump();
      return () => {
        removeTask(state, task);
        pump();
      };
    },
    crash: (isSilent) => {
      const lost = [...state.waiting, ...state.running];
      state.waiting = [];
      state.running = [];
      callOffStep?.();
      callOffStep = undefined;
      isUp = false;
      cache.clear();
      if (!isSilent) for (const { job } of lost) job.onEnd("failed");
    },
    restart: () => {
      isUp = true;
    },
    dropCache: cache.dropUnpinned,
  };
};
