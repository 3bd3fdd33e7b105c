/** The small world of the bench of retries. Durations are milliseconds. */
export const world = {
  engines: 9,
  /** Requests that an engine computes at once. */
  slots: 4,
  /** Further requests that an engine accepts. */
  waiting: 64,
  prefill: { minimum: 20, maximum: 80 },
  tokens: 8,
  tokenTime: 20,
  duration: 60_000,
  warmUp: 5_000,
  failFrom: 20_000,
  failUntil: 40_000,
  reportInterval: 500,
  window: 1_000,
  stragglers: 0.01,
  stragglerTime: 700,
} as const;

/** Requests a second that engines can take: about 61 % and 89 % of what they can compute. */
export const rates = { usual: 110, high: 160 } as const;
