/**
 * Measures how long a new connection waits until it is accepted: connects to the listening socket itself, where the
 * operating system queues it behind all others.
 */
import type { Socket } from "node:net";
import { connect } from "node:net";
import { steadyNow } from "../../state/steadyTime.ts";

export interface QueueProbe {
  /** Connects to the listening socket, unless a probe waits already or the last one ended not long ago. */
  readonly start: () => void;
  /** Ends the probe if an accepted connection is its own. @returns Whether it is. */
  readonly endIfOwn: (accepted: Socket) => boolean;
  /** @returns For how long the probe has waited, milliseconds; 0 if there is none. */
  readonly waited: () => number;
  /** Ends a probe that waits. */
  readonly cancel: () => void;
}

/**
 * @param address - Where the listening socket is.
 * @param interval - Time from the end of a probe to the next, milliseconds.
 */
export const createQueueProbe = (
  address: () => { readonly host: string; readonly port: number },
  interval: number,
): QueueProbe => {
  let waiting: { readonly socket: Socket; readonly since: number } | undefined;
  let endedAt = Number.NEGATIVE_INFINITY;

  const cancel = (): void => {
    if (waiting === undefined) return;
    waiting.socket.destroy();
    waiting = undefined;
    endedAt = steadyNow();
  };

  return {
    start: () => {
      if (waiting !== undefined || steadyNow() - endedAt < interval) return;
      const socket = connect(address());
      // A connection that fails has waited as well, until the probe is cancelled.
      socket.on("error", () => undefined);
      waiting = { socket, since: steadyNow() };
    },
    endIfOwn: (accepted) => {
      if (waiting === undefined || accepted.remotePort !== waiting.socket.localPort) return false;
      accepted.destroy();
      cancel();
      return true;
    },
    waited: () => (waiting === undefined ? 0 : steadyNow() - waiting.since),
    cancel,
  };
};
