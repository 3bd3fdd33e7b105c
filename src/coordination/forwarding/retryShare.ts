/**
 * This router's part of the retries that all routers together may make at a service: a share of its own requests
 * in the window, and an even part of the common reserve.
 */
import type { Clock } from "../clock.ts";
import type { SlidingWindowCounter } from "../slidingWindowCounter.ts";
import { createSlidingWindowCounter } from "../slidingWindowCounter.ts";
import type { ForwardingBounds } from "./types.ts";

/** Parts of a window: the older a count, the coarser its age. */
const bucketsPerWindow = 20;

/** Kept back: windows slide in parts, and another router may count its peers differently for a moment. */
const safety = 0.8;

/** See {@link createRetryShare}. */
export interface RetryShare {
  /** A caller's request for the service has come. */
  readonly noteRequest: (service: string) => void;
  /** @returns False if no further attempt may be made now; otherwise it is counted. */
  readonly tryTake: (service: string) => boolean;
}

/** One service's use in the window. */
interface Counts {
  readonly requests: SlidingWindowCounter;
  readonly retries: SlidingWindowCounter;
}

/** What retries are shared by. */
export interface RetryShareDependencies {
  readonly clock: Clock;
  readonly bounds: ForwardingBounds;
  /** Routers that may make retries, those included that are silent. */
  readonly routerCount: () => number;
}

/** Creates a share that has counted nothing. */
export const createRetryShare = ({
  clock,
  bounds,
  routerCount: routers,
}: RetryShareDependencies): RetryShare => {
  const services = new Map<string, Counts>();

  const countsOf = (service: string): Counts => {
    const known = services.get(service);
    if (known !== undefined) return known;
    const count = (): SlidingWindowCounter =>
      createSlidingWindowCounter(clock, bounds.retryWindow, bucketsPerWindow);
    const made = { requests: count(), retries: count() };
    services.set(service, made);
    return made;
  };

  const allowed = (requests: number): number => {
    const { retryRatio, retryReserve } = bounds;
    return safety * (retryRatio * requests + retryReserve / Math.max(1, routers()));
  };

  return {
    noteRequest: (service) => countsOf(service).requests.add(1),
    tryTake: (service) => {
      const { requests, retries } = countsOf(service);
      if (retries.sum() + 1 > allowed(requests.sum())) return false;
      retries.add(1);
      return true;
    },
  };
};
