/** What engines reported to each router, and what came from that router afterwards. */
import type { Clock } from "../../src/coordination/clock.ts";

/** Requests under way when an engine reports something may still arrive for so long, milliseconds. */
const grace = { draining: 2_000, backoff: 500 } as const;

/** See {@link createReportLog}. */
export interface ReportLog {
  readonly recordDraining: (engine: string, router: string) => void;
  readonly recordBackoff: (engine: string, router: string, duration: number) => void;
  readonly recordArrival: (engine: string, router: string) => void;
  /** Arrivals from routers that an engine had told that it drains. */
  readonly afterDraining: () => number;
  /** The most arrivals from one router within one backoff. */
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
      const backoff = { from: now + grace.backoff, until: now + duration, arrivals: 0 };
      backoffs.set(key, [...(backoffs.get(key) ?? []), backoff]);
    },
    recordArrival: (engine, router) => {
      const key = keyOf(engine, router);
      const now = clock.monotonic();
      const since = drainingSince.get(key);
      if (since !== undefined && now > since + grace.draining) afterDraining += 1;
      if (backoffs.has(key)) countBackoffs(key, now);
    },
    afterDraining: () => afterDraining,
    worstInBackoff: () => worstInBackoff,
  };
};
