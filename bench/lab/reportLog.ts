/** Records what engines reported to each router and counts the requests that the router sent them afterwards. */
import type { Clock } from "../../src/coordination/clock.ts";

/** Time for which requests may still arrive that were on their way when an engine reported something, milliseconds. */
const gracePeriods = { draining: 2_000, backoff: 500 } as const;

/** Reports of engines and later arrivals, by engine and router. */
export interface ReportLog {
  readonly recordDraining: (engine: string, router: string) => void;
  /** @param duration - The backoff that the engine asked for, milliseconds. */
  readonly recordBackoff: (engine: string, router: string, duration: number) => void;
  readonly recordArrival: (engine: string, router: string) => void;
  /** @returns Number of arrivals from routers to which the engine had reported that it drains. */
  readonly afterDraining: () => number;
  /** @returns The most arrivals from one router within one backoff. */
  readonly worstInBackoff: () => number;
}

interface Backoff {
  readonly from: number;
  readonly until: number;
  arrivals: number;
}

/** Creates an empty log. */
export const createReportLog = (clock: Clock): ReportLog => {
  const drainingSince = new Map<string, number>();
  const backoffs = new Map<string, Backoff[]>();
  let afterDraining = 0;
  let worstInBackoff = 0;
  const keyOf = (engine: string, router: string): string => `${engine} ${router}`;

  const countBackoffs = (key: string, now: number): void => {
    const current = (backoffs.get(key) ?? []).filter(({ until }) => now < until);
    backoffs.set(key, current);
    for (const backoff of current) {
      if (now <= backoff.from) continue;
      backoff.arrivals += 1;
      worstInBackoff = Math.max(worstInBackoff, backoff.arrivals);
    }
  };

  return {
    recordDraining: (engine, router) => {
      const key = keyOf(engine, router);
      if (!drainingSince.has(key)) drainingSince.set(key, clock.monotonic());
    },
    recordBackoff: (engine, router, duration) => {
      const key = keyOf(engine, router);
      const now = clock.monotonic();
      const backoff = { from: now + gracePeriods.backoff, until: now + duration, arrivals: 0 };
      backoffs.set(key, [...(backoffs.get(key) ?? []), backoff]);
    },
    recordArrival: (engine, router) => {
      const key = keyOf(engine, router);
      const now = clock.monotonic();
      const since = drainingSince.get(key);
      if (since !== undefined && now > since + gracePeriods.draining) afterDraining += 1;
      if (backoffs.has(key)) countBackoffs(key, now);
    },
    afterDraining: () => afterDraining,
    worstInBackoff: () => worstInBackoff,
  };
};
