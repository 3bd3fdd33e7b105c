/**
 * Accounts for the memory that bodies of requests hold, from their first byte until their last attempt has ended, and
 * decides which body yields where a bound over all of them is reached. Pure decisions: nothing here reads or writes.
 *
 * Large bodies share one part of the bound. The rest is for small ones, which may use both, so that large bodies never
 * keep ordinary requests out. Only bodies that are still being received yield: a request that may have run keeps its
 * body.
 */
import { metricNames } from "./constants.ts";
import type { Metrics } from "./Metrics.ts";

/** Bounds over all bodies. Sizes are bytes, durations milliseconds. */
export interface BodyBounds {
  /** For bodies above {@link smallBodyBytes} together. */
  readonly largeBytes: number;
  /** For all bodies together. */
  readonly totalBytes: number;
  /** For the large bodies of one organisation. */
  readonly ownerBytes: number;
  /** A body of which nothing arrives for this long is dropped. */
  readonly idleTimeout: number;
}

/** Why a body is dropped while it is being received. */
export type DropReason = "memory" | "fragmented" | "slow";

/** The memory of one body. */
export interface BodyHold {
  /**
   * Charges bytes, at the cost of other bodies if need be.
   *
   * @returns Whether they fit; otherwise the body has to be refused.
   */
  readonly charge: (bytes: number) => boolean;
  readonly noteReceived: (bytes: number) => void;
  /** @returns Whether the body may be received in very small chunks; otherwise it has to be refused. */
  readonly admitFragments: () => boolean;
  /** From here on the body yields to no other. */
  readonly complete: () => void;
  readonly release: () => void;
}

/** The memory of all bodies. */
export interface BodyMemory {
  /**
   * @param owner - The organisation that sends the body; empty for none.
   * @param drop - Ends the body's reception; it must release the hold at once.
   */
  readonly open: (owner: string, drop: (reason: DropReason) => void) => BodyHold;
  /** Drops the bodies that arrive too slowly. */
  readonly dropSlow: () => void;
  readonly heldBytes: () => number;
}

/** Bodies up to this size also use the part of the bound that is kept from large ones, bytes. */
export const smallBodyBytes = 131_072;

/** A body that has begun more recently than this yields only if its organisation holds most, milliseconds. */
const graceTime = 1_000;

/** Bytes per millisecond below which a body is too slow once {@link BodyBounds.idleTimeout} has passed. */
const slowestRate = 1_024 / 1_000;

/** Bodies in very small chunks that are received at once: each chunk costs the work of a whole read. */
const maxFragmented = 2;

interface TrackedBody {
  readonly owner: string;
  readonly startedAt: number;
  readonly drop: (reason: DropReason) => void;
  charged: number;
  received: number;
  receivedAt: number;
  isReceiving: boolean;
  isFragmented: boolean;
}

const isLarge = (bytes: number): boolean => bytes > smallBodyBytes;

const minimumBy = <T>(items: readonly T[], measure: (item: T) => number): T | undefined => {
  let best: T | undefined;
  for (const item of items) if (best === undefined || measure(item) < measure(best)) best = item;
  return best;
};

/** @returns The body of which nothing has arrived for longest, or else the slowest one; none that has just begun. */
const findLaggard = (bodies: readonly TrackedBody[], now: number): TrackedBody | undefined => {
  const stalled = bodies.filter(({ receivedAt }) => now - receivedAt >= graceTime);
  if (stalled.length > 0) return minimumBy(stalled, ({ receivedAt }) => receivedAt);
  const begun = bodies.filter(({ startedAt }) => now - startedAt >= graceTime);
  return minimumBy(begun, ({ received, startedAt }) => received / (now - startedAt));
};

const sumByOwner = (bodies: Iterable<TrackedBody>): ReadonlyMap<string, number> => {
  const sums = new Map<string, number>();
  for (const { owner, charged } of bodies) sums.set(owner, (sums.get(owner) ?? 0) + charged);
  return sums;
};

/** @returns The newest body of the organisation that holds most. */
const findNewestOfLargest = (
  bodies: readonly TrackedBody[],
  heldBy: ReadonlyMap<string, number>,
): TrackedBody | undefined => {
  const largest = minimumBy(bodies, ({ owner }) => -(heldBy.get(owner) ?? 0))?.owner;
  return bodies.filter(({ owner }) => owner === largest).at(-1);
};

/**
 * Creates the memory of bodies.
 *
 * @param bounds - The bounds in force.
 * @param now - The monotonic clock, milliseconds.
 */
export const createBodyMemory = (
  bounds: () => BodyBounds,
  metrics: Metrics,
  now: () => number,
): BodyMemory => {
  const bodies = new Set<TrackedBody>();
  let totalBytes = 0;
  let largeBytes = 0;

  metrics.observe(metricNames.bodyBytes, [], () => [{ value: totalBytes, tags: {} }]);

  const setCharged = (body: TrackedBody, bytes: number): void => {
    totalBytes += bytes - body.charged;
    largeBytes += (isLarge(bytes) ? bytes : 0) - (isLarge(body.charged) ? body.charged : 0);
    body.charged = bytes;
  };

  const receiving = (): readonly TrackedBody[] => [...bodies].filter(({ isReceiving }) => isReceiving);

  const drop = (body: TrackedBody, reason: DropReason): void => {
    metrics.count(metricNames.bodiesDropped, 1, { reason });
    body.drop(reason);
  };

  const ownerBytes = (owner: string): number =>
    [...bodies].reduce(
      (sum, body) => sum + (body.owner === owner && isLarge(body.charged) ? body.charged : 0),
      0,
    );

  /** @returns How many bytes have to be given up before a body can be charged so much. */
  const missingFor = (body: TrackedBody, bytes: number): number => {
    const { charged } = body;
    const limits = bounds();
    const missing = totalBytes - charged + bytes - limits.totalBytes;
    if (!isLarge(bytes)) return missing;
    const large = largeBytes - (isLarge(charged) ? charged : 0) + bytes - limits.largeBytes;
    return Math.max(missing, large);
  };

  const exceedsOwnerBound = (body: TrackedBody, bytes: number): boolean => {
    const own = isLarge(body.charged) ? body.charged : 0;
    return isLarge(bytes) && ownerBytes(body.owner) - own + bytes > bounds().ownerBytes;
  };

  /** Drops a body in favour of another one. @returns Whether one was dropped. */
  const dropOne = (body: TrackedBody, candidates: readonly TrackedBody[]): boolean => {
    const others = candidates.filter((each) => each !== body);
    const victim = findLaggard(others, now()) ?? findNewestOfLargest(candidates, sumByOwner(bodies));
    if (victim === undefined || victim === body) return false;
    drop(victim, "memory");
    return !bodies.has(victim);
  };

  /** Drops other bodies until one can be charged so much. @returns Whether it can. */
  const makeRoomFor = (body: TrackedBody, bytes: number): boolean => {
    while (exceedsOwnerBound(body, bytes)) {
      const own = receiving().filter(({ owner, charged }) => owner === body.owner && isLarge(charged));
      if (!dropOne(body, [...own.filter((each) => each !== body), body])) return false;
    }
    while (missingFor(body, bytes) > 0) {
      const holding = receiving().filter(
        ({ charged }) => charged > 0 && (!isLarge(bytes) || isLarge(charged)),
      );
      if (!dropOne(body, [...holding.filter((each) => each !== body), body])) return false;
    }
    return true;
  };

  /** Admits a body in very small chunks, in place of one that lags if there are too many. */
  const admitFragments = (body: TrackedBody): boolean => {
    if (body.isFragmented) return true;
    const others = receiving().filter(({ isFragmented }) => isFragmented);
    if (others.length >= maxFragmented) {
      const victim = findLaggard(others, now());
      if (victim === undefined) return false;
      drop(victim, "fragmented");
    }
    body.isFragmented = true;
    return true;
  };

  return {
    open: (owner, dropBody) => {
      const startedAt = now();
      const body: TrackedBody = {
        owner,
        startedAt,
        drop: dropBody,
        charged: 0,
        received: 0,
        receivedAt: startedAt,
        isReceiving: true,
        isFragmented: false,
      };
      bodies.add(body);
      return {
        charge: (bytes) => {
          if (!makeRoomFor(body, body.charged + bytes)) return false;
          setCharged(body, body.charged + bytes);
          return true;
        },
        noteReceived: (bytes) => {
          body.received += bytes;
          body.receivedAt = now();
        },
        admitFragments: () => admitFragments(body),
        complete: () => {
          body.isReceiving = false;
        },
        release: () => {
          if (!bodies.delete(body)) return;
          setCharged(body, 0);
        },
      };
    },
    dropSlow: () => {
      const { idleTimeout } = bounds();
      const at = now();
      for (const body of receiving()) {
        const isIdle = at - body.receivedAt > idleTimeout;
        const isCrawling = at - body.startedAt > idleTimeout + body.received / slowestRate;
        if (isIdle || isCrawling) drop(body, "slow");
      }
    },
    heldBytes: () => totalBytes,
  };
};
