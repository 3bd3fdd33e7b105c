/** Graceful shutdown: which requests are still accepted, and when all of them must have ended. */
import type { Clock } from "../clock.ts";
import { shutdownPhases } from "./constants.ts";
import type { ForwardingBounds } from "./types.ts";

export interface Shutdown {
  readonly begin: () => void;
  readonly isInProgress: () => boolean;
  /**
   * Whether a request may be accepted: any while the load balancer still sends new callers; later, on connections that
   * are still open, only one whose deadline is before the end of the grace time.
   *
   * @param deadline - Of the request, milliseconds on the monotonic clock.
   */
  readonly mayAccept: (deadline: number) => boolean;
  /** @returns Milliseconds until the load balancer has certainly stopped sending requests here. */
  readonly untilBalancerNotices: () => number;
  /** @returns Milliseconds until every request must have ended. */
  readonly untilDeadline: () => number;
}

/** Creates a shutdown that has not begun. */
export const createShutdown = (clock: Clock, bounds: ForwardingBounds): Shutdown => {
  let begunAt: number | undefined;

  const until = (share: number): number => {
    if (begunAt === undefined) return Number.POSITIVE_INFINITY;
    return begunAt + bounds.shutdownGrace * share - clock.monotonic();
  };

  return {
    begin: () => {
      begunAt ??= clock.monotonic();
    },
    isInProgress: () => begunAt !== undefined,
    mayAccept: (deadline) => {
      if (until(shutdownPhases.acceptShare) > 0) return true;
      return deadline - clock.monotonic() < until(shutdownPhases.endShare);
    },
    untilBalancerNotices: () => until(shutdownPhases.noticeShare),
    untilDeadline: () => until(shutdownPhases.endShare),
  };
};
