/** A clock that only advances explicitly, for tests and for simulations. */
import type { Clock } from "./clock.ts";

interface Timer {
  readonly at: number;
  readonly sequence: number;
  readonly callback: () => void;
}

/** A clock that a test or a simulation controls. */
export interface ManualClock extends Clock {
  /** Advances to a time and runs the timers that are due until then, in order; callbacks may set further timers. */
  readonly advanceTo: (time: number) => void;
  /** When the next timer is due; undefined if there is none. */
  readonly nextTimer: () => number | undefined;
}

const isBefore = (left: Timer, right: Timer): boolean =>
  left.at < right.at || (left.at === right.at && left.sequence < right.sequence);

/** Creates a binary heap, because the bench keeps many thousands of timers. */
const createTimerHeap = () => {
  const heap: Timer[] = [];

  const push = (timer: Timer): void => {
    let index = heap.length;
    heap.push(timer);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const above = heap[parent];
      if (above === undefined || !isBefore(timer, above)) break;
      heap[index] = above;
      index = parent;
    }
    heap[index] = timer;
  };

  const siftDown = (timer: Timer): void => {
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      const right = heap[child + 1];
      let least = heap[child];
      if (least !== undefined && right !== undefined && isBefore(right, least)) {
        least = right;
        child += 1;
      }
      if (least === undefined || !isBefore(least, timer)) break;
      heap[index] = least;
      index = child;
    }
    heap[index] = timer;
  };

  const pop = (): Timer | undefined => {
    const top = heap[0];
    const last = heap.pop();
    if (last !== undefined && heap.length > 0) siftDown(last);
    return top;
  };

  return { push, pop, peek: () => heap[0] };
};

/**
 * Creates a clock.
 *
 * @param start - Initial monotonic time, in milliseconds.
 */
export const createManualClock = (start = 0): ManualClock => {
  const timers = createTimerHeap();
  const cancelled = new Set<Timer>();
  let now = start;
  let sequence = 0;

  const dropCancelled = (): void => {
    for (let next = timers.peek(); next !== undefined && cancelled.has(next); next = timers.peek()) {
      timers.pop();
      cancelled.delete(next);
    }
  };

  const nextTimer = (): number | undefined => {
    dropCancelled();
    return timers.peek()?.at;
  };

  const advanceTo = (time: number): void => {
    for (let at = nextTimer(); at !== undefined && at <= time; at = nextTimer()) {
      now = Math.max(now, at);
      timers.pop()?.callback();
    }
    now = Math.max(now, time);
  };

  return {
    monotonic: () => now,
    wall: () => now,
    after: (delay, callback) => {
      sequence += 1;
      let isPending = true;
      const timer: Timer = {
        at: now + Math.max(0, delay),
        sequence,
        callback: () => {
          isPending = false;
          callback();
        },
      };
      timers.push(timer);
      return () => {
        if (isPending) cancelled.add(timer);
        isPending = false;
      };
    },
    advanceTo,
    nextTimer,
  };
};
