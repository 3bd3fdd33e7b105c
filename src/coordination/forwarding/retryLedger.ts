/**
 * Requests and retries of one service at this router, and whether the requests pay for another retry.
 *
 * In any interval of up to a window, the retries are at most: a part of the ratio of the interval's own requests, and the
 * rest of the ratio of those that came in the window before the interval. The parts of all routers add up whatever they
 * know of each other, since they are linear in the requests: of a whole window they give the weighted mean of what the
 * ratio allows for it and for the window before it. So the bound holds where callers move to another router, which has
 * received nothing before, and where a process dies, whose requests pay for nothing any more.
 */
import type { Clock } from "../clock.ts";

/** Resolution of the window. */
const bucketsPerWindow = 50;

/**
 * Part of the ratio that requests pay for retries of the same interval. Requests before the interval pay the rest: that
 * is what a router can spend at once when failures begin, and what a router that has just got its callers lacks.
 */
const shareOfInterval = 0.4;
const shareOfWindowBefore = 1 - shareOfInterval;

/** How much later than it was granted a retry may arrive, in buckets. */
const delayBuckets = 2;

/** Requests of two windows pay. */
const keptBuckets = 2 * bucketsPerWindow;

export interface RetryLedger {
  readonly noteRequest: () => void;
  readonly noteRetry: () => void;
  /** @returns The requests and retries of the present window. */
  readonly requests: () => number;
  readonly retries: () => number;
  /**
   * @param reserve - Retries that this router may make in a window without requests that pay.
   * @returns How many retries may be made now; a fraction, and negative if the reserve has shrunk.
   */
  readonly available: (reserve: number) => number;
}

interface Bucket {
  requests: number;
  retries: number;
}

/**
 * Creates an empty ledger.
 *
 * @param window - Length of the window, milliseconds.
 * @param ratio - Retries allowed per request.
 */
export const createRetryLedger = (clock: Clock, window: number, ratio: number): RetryLedger => {
  const bucketLength = window / bucketsPerWindow;
  const buckets: Bucket[] = Array.from({ length: keptBuckets }, () => ({ requests: 0, retries: 0 }));
  let newest = Math.floor(clock.monotonic() / bucketLength);

  /** @param age - 0 for the present bucket; less than the number of buckets that are kept. */
  const bucketAt = (age: number): Bucket | undefined =>
    buckets[(((newest - age) % keptBuckets) + keptBuckets) % keptBuckets];

  const requestsAt = (age: number): number => bucketAt(age)?.requests ?? 0;

  const advance = (): void => {
    const current = Math.floor(clock.monotonic() / bucketLength);
    const first = Math.max(newest + 1, current - keptBuckets + 1);
    newest = Math.max(newest, current);
    for (let number = first; number <= newest; number += 1) {
      const bucket = bucketAt(newest - number);
      if (bucket !== undefined) Object.assign(bucket, { requests: 0, retries: 0 });
    }
  };

  const present = (): Bucket => {
    advance();
    return bucketAt(0) ?? { requests: 0, retries: 0 };
  };

  const sumOf = (part: keyof Bucket): number => {
    advance();
    let sum = 0;
    for (let age = 0; age < bucketsPerWindow; age += 1) sum += bucketAt(age)?.[part] ?? 0;
    return sum;
  };

  return {
    noteRequest: () => {
      present().requests += 1;
    },
    noteRetry: () => {
      present().retries += 1;
    },
    requests: () => sumOf("requests"),
    retries: () => sumOf("retries"),
    available: (reserve) => {
      advance();
      let least = Number.POSITIVE_INFINITY;
      let spent = 0;
      let paidOfInterval = 0;
      let paidBefore = 0;
      for (let age = 0; age < bucketsPerWindow - delayBuckets - 1; age += 1) paidBefore += requestsAt(age);
      for (let start = 0; start <= bucketsPerWindow + delayBuckets; start += 1) {
        spent += bucketAt(start)?.retries ?? 0;
        paidBefore += requestsAt(start + bucketsPerWindow - delayBuckets - 1);
        // Retries of the interval arrive in one that begins later: requests in between came before it.
        const moved = start < delayBuckets ? 0 : requestsAt(start - delayBuckets);
        paidBefore -= moved;
        paidOfInterval += moved;
        const earned = ratio * (shareOfInterval * paidOfInterval + shareOfWindowBefore * paidBefore);
        least = Math.min(least, earned + reserve - spent);
      }
      return least;
    },
  };
};
