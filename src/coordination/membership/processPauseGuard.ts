/**
 * Notices that this process itself stood still (paused, swapped out). It has then missed messages by its own
 * fault, and finds old ones in its sockets as though they had just come: it blames nobody, and takes nothing
 * from streams opened before.
 */
import type { Router } from "../../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import { createLogger } from "../../state/log.ts";
import { heartbeats } from "./constants.ts";

/** See the module. Times are milliseconds on the monotonic clock. */
export interface StallGuard {
  /** Notes that the timer for heartbeats has run; the next run is due after `interval`. */
  readonly noteTick: (now: number, interval: number) => void;
  /** Looks whether the timer is overdue; to be called before anything that depends on it. */
  readonly check: (now: number) => void;
  /** Takes a sender that has just joined, in place of an earlier one of the same name. */
  readonly trust: (sender: Router) => void;
  readonly isTrusted: (sender: Router) => boolean;
}

const writeLog = createLogger("membership");

/**
 * Makes a guard.
 *
 * @param onStall - Called when the process has stood still.
 */
export const createStallGuard = (startedAt: number, onStall: (now: number) => void): StallGuard => {
  let dueAt = startedAt;
  /** The sender of each peer's latest stream, by the peer's name. */
  const trusted = new Map<string, Router>();
  return {
    noteTick: (now, interval) => {
      dueAt = now + interval;
    },
    check: (now) => {
      const late = now - dueAt;
      if (late <= heartbeats.stalledAfter) return;
      writeLog("stood_still", { milliseconds: Math.round(late) });
      dueAt = now;
      trusted.clear();
      onStall(now);
    },
    trust: (sender) => trusted.set(sender.name, sender),
    isTrusted: (sender) => trusted.get(sender.name) === sender,
  };
};
