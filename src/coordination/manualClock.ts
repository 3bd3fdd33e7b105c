/** A clock that moves only when told to, for tests and for runs in simulated time. */
import type { Clock } from "./clock.ts";

interface Timer {
  readonly at: number;
  readonly sequence: number;
  readonly callback: () => void;
}

/** A clock under a test's control. */
export interface ManualClock extends Clock {
  /** Moves on to a time, calling back on the way in the order of time; callbacks may set further timers. */
  readonly advanceTo: (time: number) => void;
  /** When the next callback is due, if any. */
  readonly nextTimer: () => number | undefined;
}

const isBefore = (left: Timer, right: Timer): boolean =>
  left.at < right.at || (left.at === right.at && left.sequence < right.sequence);

/** A binary heap: the bench keeps many thousands of timers. */
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

  const sink = (timer: Timer): void => {
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
    if (last !== undefined && heap.length > 0) sink(last);
    return top;
  };

  return { push, pop, peek: () => heap[0] };
};

/**
 * Makes a clock.
 *
 * @param start - Its first monotonic time, milliseconds.
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
      let due = true;
      const timer: Timer = {
        at: now + Math.max(0, delay),
        sequence,
        callback: () => {
          due = false;
          callback();
        },
      };
      timers.push(timer);
      return () => {
        if (due) cancelled.add(timer);
        due = false;
      };
    },
    advanceTo,
    nextTimer,
  };
};
