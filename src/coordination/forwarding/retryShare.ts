/**
 * This router's part of the retries that all routers together may make at a service: a share of its own requests
 * in the window, and an even part of the common reserve.
 */
import type { Clock } from "../clock.ts";
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

interface Bucket {
  readonly number: number;
  requests: number;
  retries: number;
}

/** What retries are shared by. */
export interface RetryShareParts {
  readonly clock: Clock;
  readonly bounds: ForwardingBounds;
  /** Routers that may make retries, those included that are silent. */
  readonly routers: () => number;
}

/** Creates a share that has counted nothing. */
export const createRetryShare = ({ clock, bounds, routers }: RetryShareParts): RetryShare => {
  const services = new Map<string, Bucket[]>();
  const bucketLength = bounds.retryWindow / bucketsPerWindow;

  const current = (service: string): Bucket => {
    const number = Math.floor(clock.monotonic() / bucketLength);
    const buckets = services.get(service) ?? [];
    services.set(service, buckets);
    // One bucket more than a window: every window is covered wherever it begins.
    while (buckets[0] !== undefined && buckets[0].number < number - bucketsPerWindow) buckets.shift();
    const last = buckets.at(-1);
    if (last?.number === number) return last;
    const made = { number, requests: 0, retries: 0 };
    buckets.push(made);
    return made;
  };

  const allowed = (requests: number): number => {
    const { retryRatio, retryReserve } = bounds;
    return safety * (retryRatio * requests + retryReserve / Math.max(1, routers()));
  };

  return {
    noteRequest: (service) => {
      current(service).requests += 1;
    },
    tryTake: (service) => {
      const bucket = current(service);
      const buckets = services.get(service) ?? [];
      const requests = buckets.reduce((sum, each) => sum + each.requests, 0);
      const retries = buckets.reduce((sum, each) => sum + each.retries, 0);
      if (retries + 1 > allowed(requests)) return false;
      bucket.retries += 1;
      return true;
    },
  };
};
