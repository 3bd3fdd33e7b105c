/** The fleets for which designs of the retry budget are compared. */
import type { RetryBudget } from "../../tests/support/retryWindows.ts";

/** A number of routers, with their requests per second and the budget that they share. */
export interface Fleet {
  readonly routers: number;
  readonly requestsPerSecond: number;
  readonly budget: RetryBudget;
}

const ratioAndWindow = { retryRatio: 0.2, retryWindow: 10_000 } as const;

export const smallFleet: Fleet = {
  routers: 6,
  requestsPerSecond: 80,
  budget: { ...ratioAndWindow, retryReserve: 56 },
};

const mediumFleet: Fleet = {
  routers: 58,
  requestsPerSecond: 300,
  budget: { ...ratioAndWindow, retryReserve: 156 },
};

/** Fewer requests per router than in the small fleet, so that whole retries are a coarser part of the budget. */
export const largeFleet: Fleet = {
  routers: 460,
  requestsPerSecond: 4_600,
  budget: { ...ratioAndWindow, retryReserve: 460 },
};

export const fleets: readonly Fleet[] = [smallFleet, mediumFleet, largeFleet];
