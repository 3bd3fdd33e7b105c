/** Queues and memory of a batch engine: admission, preemption and copies of prompt parts. */
import type { PrefixLevel } from "../../src/protocol/types.ts";
import type { BatchState, Task } from "./batchTypes.ts";
import { reserveCopy } from "./links.ts";

/** Computing a part again counts as recomputation if some engine had it within this time, milliseconds. */
const recomputationWindow = 10_000;

/** @returns Tokens of the first `count` levels of a prompt. */
export const tokensOf = (levels: readonly PrefixLevel[], count: number): number =>
  levels[count - 1]?.tokens ?? 0;

/** @returns Tokens of a task's whole prompt. */
export const promptTokensOf = ({ job }: Task): number => tokensOf(job.levels, job.levels.length);

/** Removes a task from the queues and unpins its levels, so that they can be evicted. */
export const removeTask = (state: BatchState, task: Task): void => {
  state.waiting = state.waiting.filter((each) => each !== task);
  state.running = state.running.filter((each) => each !== task);
  for (const { key } of task.job.levels.slice(0, task.pinnedLevels)) state.cache.unpin(key);
  task.pinnedLevels = 0;
};

/** Pins the levels that are complete, and records when they were last cached. */
export const pinDoneLevels = ({ cache, lastCachedAt, clock }: BatchState, task: Task): void => {
  const { levels } = task.job;
  while (task.pinnedLevels < levels.length && tokensOf(levels, task.pinnedLevels + 1) <= task.doneTokens) {
    cache.pin(levels, task.pinnedLevels);
    lastCachedAt.set(levels[task.pinnedLevels]?.key ?? "", clock.monotonic());
    task.pinnedLevels += 1;
  }
};

const isAfter = (left: Task, right: Task): boolean =>
  left.job.priority > right.job.priority ||
  (left.job.priority === right.job.priority && left.sequence > right.sequence);

/** Adds a task to the waiting queue, the most urgent first. */
export const enqueue = ({ waiting }: BatchState, task: Task): void => {
  const index = waiting.findIndex((each) => isAfter(each, task));
  if (index < 0) waiting.push(task);
  else waiting.splice(index, 0, task);
};

/** Starts a copy of the parts that the task's source has cached and this engine lacks. */
const startCopy = (state: BatchState, task: Task, onCopied: () => void): void => {
  const { specification, link, clock, totals } = state;
  const { levels, source } = task.job;
  const shared = levels.slice(0, -1);
  const sourceLevels = source === undefined ? 0 : source.cache.hitLevels(shared);
  const tokens = tokensOf(shared, sourceLevels) - task.doneTokens;
  if (source === undefined || source.link === link || tokens <= 0) return;
  const duration = reserveCopy(clock, source.link, link, tokens * specification.bytesPerToken);
  if (duration === undefined) return;
  task.isCopying = true;
  totals.copied += tokens;
  clock.after(duration, () => {
    task.isCopying = false;
    if (!state.running.includes(task)) return;
    task.doneTokens = Math.max(task.doneTokens, tokensOf(shared, sourceLevels));
    pinDoneLevels(state, task);
    onCopied();
  });
};

/** Admits waiting tasks while there are slots and memory. @param onCopied - Called after each copy of parts. */
export const admitWaiting = (state: BatchState, onCopied: () => void): void => {
  const { specification, cache } = state;
  while (state.running.length < specification.slots) {
    const next = state.waiting[0];
    if (next === undefined) return;
    const { levels } = next.job;
    const cachedLevels = cache.hitLevels(levels.slice(0, -1));
    const missing = promptTokensOf(next) - tokensOf(levels, cachedLevels);
    if (state.running.length > 0 && cache.pinnedTokens() + missing > specification.memoryTokens) return;
    state.waiting.shift();
    state.running.push(next);
    next.doneTokens = tokensOf(levels, cachedLevels);
    pinDoneLevels(state, next);
    startCopy(state, next, onCopied);
  }
};

/** Moves the newest of the least urgent requests back to the queue while running requests exceed the memory. */
export const preempt = (state: BatchState): void => {
  const { cache, specification, totals } = state;
  while (cache.pinnedTokens() > specification.memoryTokens && state.running.length > 1) {
    const lowest = state.running.reduce((worst, task) => (isAfter(task, worst) ? task : worst));
    removeTask(state, lowest);
    lowest.doneTokens = 0;
    totals.preempted += 1;
    enqueue(state, lowest);
  }
};

/** Counts the prompt tokens from `from` on as computed, and those of recently cached parts as recomputed. */
export const countComputed = (
  { totals, lastCachedAt, clock }: BatchState,
  task: Task,
  from: number,
): void => {
  totals.computed += task.doneTokens - from;
  for (const [index, { key, tokens }] of task.job.levels.slice(0, -1).entries()) {
    const begin = Math.max(from, tokensOf(task.job.levels, index));
    const isRecent =
      clock.monotonic() - (lastCachedAt.get(key) ?? Number.NEGATIVE_INFINITY) < recomputationWindow;
    if (isRecent) totals.recomputed += Math.max(0, Math.min(tokens, task.doneTokens) - begin);
  }
};

/** Copies a computed prompt to the cache store of the task, if it has one. */
export const savePrompt = ({ link, specification, clock }: BatchState, task: Task): void => {
  const { levels, saveTo } = task.job;
  if (saveTo === undefined) return;
  const duration = reserveCopy(clock, link, saveTo.link, promptTokensOf(task) * specification.bytesPerToken);
  if (duration === undefined) return;
  clock.after(duration, () => {
    levels.forEach((_, index) => saveTo.cache.pin(levels, index));
    for (const { key } of levels) saveTo.cache.unpin(key);
  });
};
