/**
 * Whether a request is turned away instead of sent to a replica that will answer it too late.
 *
 * The load pattern that it answers: engines are lost or many callers come at once, and prompts come faster than they
 * are computed. Without a limit every prompt waits behind all others, all answers are late, and engines still
 * compute what nobody waits for any more. With it the queue stays as long as what can be answered in time, and who
 * is turned away learns it at once and may come back when the queue has shrunk.
 */
import { comeBackSpread, longestComeBackShare, shortestComeBack, usableShare } from "./constants.ts";

/** What is known of a request before it is sent. Durations are milliseconds. */
export interface Outlook {
  /** Predicted time to the beginning of the answer at the best replica. */
  readonly wait: number;
  /** The time to the beginning of the answer that callers expect. */
  readonly objective: number;
  /** How long the caller goes on waiting. */
  readonly left: number;
  /** The caller was turned away before, so that this is its last try. */
  readonly hasReturned: boolean;
}

/**
 * Decides by the predicted wait at the best replica, whose limits have these reasons: a first try that is late by
 * half of the objective or more is worth less to its caller than one that comes back and is answered in time; one
 * that came back is let in as long as its answer can still reach it, since turning it away again loses it.
 *
 * @param lateness - Latency objectives after which a first try is turned away.
 * @param random - A number from 0 to 1: callers that are turned away together don't come back together.
 * @returns After how many milliseconds the caller is to come back; nothing if the request is to be sent.
 */
export const turnAway = (outlook: Outlook, lateness: number, random: number): number | undefined => {
  const { wait, objective, left, hasReturned } = outlook;
  const bearable = hasReturned ? left * usableShare : Math.min(objective * lateness, left * usableShare);
  if (wait <= bearable) return undefined;
  const drained = wait - objective / 2;
  const spread = 1 + (random - 0.5) * comeBackSpread;
  return Math.max(shortestComeBack, Math.min(drained * spread, left * longestComeBackShare));
};
