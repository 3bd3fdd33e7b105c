/** Time as decisions see it; tests bring their own. */
export interface Clock {
  /** Milliseconds on a clock that never goes back; for durations, leases and deadlines. */
  readonly monotonic: () => number;
  /** Milliseconds since 1970; only for what people or other processes read. */
  readonly wall: () => number;
}

/** This process's clocks. */
export const systemClock: Clock = {
  monotonic: () => performance.now(),
  wall: () => Date.now(),
};
