/** What stands in a batch engine, and the rules by which its requests take memory and places. */
import type { PrefixLevel } from "../../src/protocol/types.ts";
import type { BatchState, Task } from "./batchTypes.ts";
import { reserveCopy } from "./links.ts";

/** A part that was used so long ago may be computed again without loss, milliseconds. */
const againWithin = 10_000;

/** @returns Tokens of the first levels of a prompt. */
export const tokensOf = (levels: readonly PrefixLevel[], count: number): number =>
  levels[count - 1]?.tokens ?? 0;

/** @returns Tokens of a task's whole prompt. */
export const promptTokensOf = ({ job }: Task): number => tokensOf(job.levels, job.levels.length);

/** Takes a task out, wherever it is, and lets its memory yield. */
export const removeTask = (state: BatchState, task: Task): void => {
  state.waiting = state.waiting.filter((each) => each !== task);
  state.running = state.running.filter((each) => each !== task);
  for (const { key } of task.job.levels.slice(0, task.pinnedLevels)) state.cache.unpin(key);
  task.pinnedLevels = 0;
};

/** Marks levels as used and there, up to what is done. */
export const pinDone = ({ cache, lastCachedAt: seen, clock }: BatchState, task: Task): void => {
  const { levels } = task.job;
  while (task.pinnedLevels < levels.length && tokensOf(levels, task.pinnedLevels + 1) <= task.doneTokens) {
    cache.pin(levels, task.pinnedLevels);
    seen.set(levels[task.pinnedLevels]?.key ?? "", clock.monotonic());
    task.pinnedLevels += 1;
  }
};

const isAfter = (left: Task, right: Task): boolean =>
  left.job.priority > right.job.priority ||
  (left.job.priority === right.job.priority && left.sequence > right.sequence);

/** Puts a task among those that wait, the most urgent first. */
export const enqueue = ({ waiting }: BatchState, task: Task): void => {
  const index = waiting.findIndex((each) => isAfter(each, task));
  if (index < 0) waiting.push(task);
  else waiting.splice(index, 0, task);
};

/** Begins to copy what the task's source has beyond what is here. */
const startCopy = (state: BatchState, task: Task, onCopied: () => void): void => {
  const { specification, link, clock, totals } = state;
  const { levels, source } = task.job;
  const shared = levels.slice(0, -1);
  const there = source === undefined ? 0 : source.cache.hitLevels(shared);
  const tokens = tokensOf(shared, there) - task.doneTokens;
  if (source === undefined || source.link === link || tokens <= 0) return;
  const time = reserveCopy(clock, source.link, link, tokens * specification.bytesPerToken);
  if (time === undefined) return;
  task.isCopying = true;
  totals.copied += tokens;
  clock.after(time, () => {
    task.isCopying = false;
    if (!state.running.includes(task)) return;
    task.doneTokens = Math.max(task.doneTokens, tokensOf(shared, there));
    pinDone(state, task);
    onCopied();
  });
};

/** Lets waiting tasks in while there are places and memory. */
export const admitWaiting = (state: BatchState, onCopied: () => void): void => {
  const { specification, cache } = state;
  while (state.running.length < specification.slots) {
    const next = state.waiting[0];
    if (next === undefined) return;
    const { levels } = next.job;
    const own = cache.hitLevels(levels.slice(0, -1));
    const missing = promptTokensOf(next) - tokensOf(levels, own);
    if (state.running.length > 0 && cache.pinnedTokens() + missing > specification.memoryTokens) return;
    state.waiting.shift();
    state.running.push(next);
    next.doneTokens = tokensOf(levels, own);
    pinDone(state, next);
    startCopy(state, next, onCopied);
  }
};

/** Puts back the newest of the least urgent while running requests need more memory than there is. */
export const preempt = (state: BatchState): void => {
  const { cache, specification, totals } = state;
  while (cache.pinnedTokens() > specification.memoryTokens && state.running.length > 1) {
    const last = state.running.reduce((worst, task) => (isAfter(task, worst) ? task : worst));
    removeTask(state, last);
    last.doneTokens = 0;
    totals.preempted += 1;
    enqueue(state, last);
  }
};

/** Adds prompt tokens that were computed just now. */
export const countComputed = (
  { totals, lastCachedAt: seen, clock }: BatchState,
  task: Task,
  from: number,
): void => {
  totals.computed += task.doneTokens - from;
  for (const [index, { key, tokens }] of task.job.levels.slice(0, -1).entries()) {
    const begin = Math.max(from, tokensOf(task.job.levels, index));
    const isRecent = clock.monotonic() - (seen.get(key) ?? Number.NEGATIVE_INFINITY) < againWithin;
    if (isRecent) totals.recomputed += Math.max(0, Math.min(tokens, task.doneTokens) - begin);
  }
};

/** Sends a computed prompt to the store that the task names. */
export const saveParts = ({ link, specification, clock }: BatchState, task: Task): void => {
  const { levels, saveTo } = task.job;
  if (saveTo === undefined) return;
  const time = reserveCopy(clock, link, saveTo.link, promptTokensOf(task) * specification.bytesPerToken);
  if (time === undefined) return;
  clock.after(time, () => {
    levels.forEach((_, index) => saveTo.cache.pin(levels, index));
    for (const { key } of levels) saveTo.cache.unpin(key);
  });
};
