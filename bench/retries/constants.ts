/** Parameters of the simulated system. Durations are in milliseconds. */
export const simulationParameters = {
  engines: 9,
  /** Requests that an engine runs concurrently. */
  slots: 4,
  /** Requests that an engine queues beyond its slots. */
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

/** Requests per second: about 61 % and 89 % of the engines' capacity. */
export const rates = { usual: 110, high: 160 } as const;
