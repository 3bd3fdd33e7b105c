/** A planned end: what is still taken on, and when everything has to be over. */
import type { Clock } from "../clock.ts";
import { shutdownPhases } from "./constants.ts";
import type { ForwardingBounds } from "./types.ts";

/** See {@link createShutdown}. */
export interface Shutdown {
  readonly begin: () => void;
  readonly isInProgress: () => boolean;
  /**
   * Whether a request may be taken on. Callers that the balancer still sends are; later, on connections that were
   * open before, only what is over in time for certain.
   *
   * @param deadline - Of the request, milliseconds on the monotonic clock.
   */
  readonly mayAccept: (deadline: number) => boolean;
  /** Milliseconds until the balancer has surely noticed. */
  readonly untilBalancerNotices: () => number;
  /** Milliseconds until everything has to be over. */
  readonly untilDeadline: () => number;
}

/** Creates an end that has not begun. */
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
