/**
 * Detects that this process itself was paused, for example suspended or swapped out. It has then missed
 * heartbeats through no fault of its peers, and reads old messages from its sockets as if they were new: it must
 * not take peers for dead, and must ignore streams that were opened before the pause.
 */
import type { Router } from "../../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import { createLogger } from "../../state/log.ts";
import { heartbeats } from "./constants.ts";

/** Detects pauses, and knows which streams were opened since. Times are milliseconds on the monotonic clock. */
export interface ProcessPauseGuard {
  /** Records that the heartbeat timer has fired; it is due again after `interval`. */
  readonly noteTick: (now: number, interval: number) => void;
  /** Checks whether the timer is overdue. Call it before anything that a pause would falsify. */
  readonly detectPause: (now: number) => void;
  /** Accepts the stream of a sender that has just joined, in place of an earlier one of the same name. */
  readonly trust: (sender: Router) => void;
  readonly isTrusted: (sender: Router) => boolean;
}

const writeLog = createLogger("membership");

/**
 * Creates a guard.
 *
 * @param startedAt - Milliseconds on the monotonic clock.
 * @param onPause - Called after a pause has been detected.
 */
export const createProcessPauseGuard = (
  startedAt: number,
  onPause: (now: number) => void,
): ProcessPauseGuard => {
  let dueAt = startedAt;
  /** The sender of each peer's latest stream, by the peer's name; empty after a pause. */
  const trusted = new Map<string, Router>();
  return {
    noteTick: (now, interval) => {
      dueAt = now + interval;
    },
    detectPause: (now) => {
      const overdue = now - dueAt;
      if (overdue <= heartbeats.processPauseThreshold) return;
      writeLog("stood_still", { milliseconds: Math.round(overdue) });
      dueAt = now;
      trusted.clear();
      onPause(now);
    },
    trust: (sender) => trusted.set(sender.name, sender),
    isTrusted: (sender) => trusted.get(sender.name) === sender,
  };
};
