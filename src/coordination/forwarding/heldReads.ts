/**
 * Determines up to which time a read that the store held open proves that nothing newer was written.
 *
 * The store answers such a read when something is written, or with nothing once it has held it for the time asked for.
 * An answer with nothing that comes later than that was therefore decided at the end of that time or after it, however
 * long it was under way. Counted from when the read was sent, the proof would be older by the whole time.
 */
import { createLogger } from "../../state/log.ts";
import { timerSlack } from "../storeEpochs/constants.ts";

/** One read and its answer. Times are milliseconds, on the monotonic clock. */
export interface HeldRead {
  readonly askedAt: number;
  readonly answeredAt: number;
  /** How long the store was asked to hold the read; 0 if not at all. */
  readonly wait: number;
  /** Whether the answer has nothing new. */
  readonly isEmpty: boolean;
}

/** The reads of one feed. */
export interface HeldReads {
  /** @returns The time before which everything that was written is known. */
  readonly knownUntil: (read: HeldRead) => number;
}

const writeLog = createLogger("feeds");

/** @param feed - The name of the feed, for the log. */
export const createHeldReads = (feed: string): HeldReads => {
  /** Whether the store has answered with nothing too early: it then need not have held the other reads either. */
  let endsEarly = false;

  return {
    knownUntil: ({ askedAt, answeredAt, wait, isEmpty }) => {
      const heldUntil = askedAt + wait - timerSlack;
      if (wait <= timerSlack || !isEmpty) return askedAt;
      if (answeredAt < heldUntil && !endsEarly) {
        endsEarly = true;
        writeLog("held_too_short", { feed, wait, milliseconds: Math.round(answeredAt - askedAt) });
      }
      return endsEarly ? askedAt : heldUntil;
    },
  };
};
