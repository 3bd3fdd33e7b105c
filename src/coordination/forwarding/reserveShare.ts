/**
 * This router's part of the reserve for retries that all routers share.
 *
 * Handles routers that start or lose sight of each other. A new process knows neither how many others there are nor what
 * its predecessor has spent of the reserve, and a router that is cut off forgets others that still serve. If each of them
 * took what it believes to be its part, the parts would add up to more than the reserve. The parts of the others were
 * larger before a router that is new to the system came, and what it replaces under another name may have spent one. A
 * small part of the reserve is set aside for such routers.
 */
import type { Clock } from "../clock.ts";
import { pause } from "../clock.ts";
import type { RouterOrigin } from "../storeEpochs/routerRegistration.ts";
import { originTimeout, routerCountMemory, routerCountSampleInterval } from "./constants.ts";

/** Part of the reserve that is set aside for routers whose predecessors and peers may have spent the rest. */
const unsettledPart = 0.1;

/** How long it takes until all others count a router that is new to the system, in windows. */
const newcomerDelay = 0.5;

export interface ReserveShare {
  /**
   * Called when the store has listed the routers, and they are counted.
   *
   * @param origin - `undefined` while it is not known.
   */
  readonly noteListing: (origin: RouterOrigin | undefined) => void;
  readonly isOriginKnown: () => boolean;
  /**
   * @param signal - When aborted, there is no need to wait.
   * @returns Resolves when the origin is known, after a timeout at most.
   */
  readonly whenOriginKnown: (signal: AbortSignal) => Promise<void>;
  /** Called when a retry was refused for want of budget. */
  readonly noteShortage: () => void;
  /** Whether that has happened. */
  readonly wasShort: () => boolean;
  /** Counts the routers, unless the last count is recent. */
  readonly sample: () => void;
  /** @returns The number of routers that the reserve is divided by: the largest within the last minutes. */
  readonly routers: () => number;
  /** @returns A number from 0 to 1. */
  readonly share: () => number;
}

export interface ReserveShareDependencies {
  readonly clock: Clock;
  /** The window of the retry budget, milliseconds. */
  readonly window: number;
  /** @returns How many routers may make retries, including this one and those that are unreachable. */
  readonly countRouters: () => number;
}

/** What a router's retry budget needs of its share. */
export type RetryReserve = Omit<ReserveShare, "noteListing" | "wasShort">;

/** @returns The share of a router that has run for long and counts all others. */
export const createSettledShare = (countRouters: () => number): RetryReserve => ({
  isOriginKnown: () => true,
  whenOriginKnown: () => Promise.resolve(),
  noteShortage: () => undefined,
  sample: () => undefined,
  routers: countRouters,
  share: () => 1 / countRouters(),
});

/** Creates the share of a process that starts now. */
export const createReserveShare = ({
  clock,
  window,
  countRouters,
}: ReserveShareDependencies): ReserveShare => {
  const startedAt = clock.monotonic();
  let isListed = false;
  let wasShort = false;
  /** When retries made without regard to this process are outside the window; never while its origin isn't known. */
  let settledAt = Number.POSITIVE_INFINITY;
  let announceOrigin = (): void => undefined;
  const originKnown = new Promise<void>((resolve) => {
    announceOrigin = resolve;
  });
  let periodStartedAt = startedAt;
  let sampledAt = Number.NEGATIVE_INFINITY;
  let largest = 1;
  let largestBefore = 1;

  const count = (): void => {
    const now = clock.monotonic();
    sampledAt = now;
    if (now - periodStartedAt >= routerCountMemory) {
      periodStartedAt = now;
      largestBefore = largest;
      largest = 1;
    }
    largest = Math.max(largest, countRouters());
  };

  const routers = (): number => {
    count();
    return Math.max(largest, largestBefore);
  };

  const isOriginKnown = (): boolean => settledAt !== Number.POSITIVE_INFINITY;

  const settlingTimes: Readonly<Record<RouterOrigin, () => number>> = {
    bootstrap: () => clock.monotonic(),
    join: () => clock.monotonic() + window * (1 + newcomerDelay),
    // The others have counted the predecessor, so that only its own retries matter.
    restart: () => startedAt + window,
  };

  return {
    noteListing: (origin) => {
      count();
      isListed = true;
      if (origin === undefined || isOriginKnown()) return;
      settledAt = settlingTimes[origin]();
      announceOrigin();
    },
    isOriginKnown,
    whenOriginKnown: (signal) => Promise.race([originKnown, pause(clock, originTimeout, signal)]),
    noteShortage: () => {
      wasShort = true;
    },
    wasShort: () => wasShort,
    sample: () => {
      if (clock.monotonic() - sampledAt >= routerCountSampleInterval) count();
    },
    routers,
    share: () => {
      if (!isListed) return 0;
      const part = clock.monotonic() >= settledAt ? 1 - unsettledPart : unsettledPart;
      return part / routers();
    },
  };
};
