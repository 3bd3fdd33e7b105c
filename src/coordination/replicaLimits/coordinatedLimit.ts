/**
 * What is left of one replica's limit, as its keeper counts it: by the newest word of the replica, whichever router
 * heard it.
 */
import type { AnswerSpan, LimitWord } from "../../state/forwarding/limitWord.ts";
import { supersedes } from "../../state/forwarding/limitWord.ts";
import type { Clock } from "../clock.ts";
import type { BucketFilling } from "../coordinators/tokenBucket.ts";
import { createUsageBucket } from "../coordinators/tokenBucket.ts";
import { burstTime, doubtedAfter, doubtFactor, endedAfter, leastRate } from "./constants.ts";

/** See {@link createKeptLimit}. */
export interface KeptLimit {
  /** An answer named a limit. */
  readonly hear: (word: LimitWord) => void;
  /** An answer named none. */
  readonly hearUnnamed: (span: AnswerSpan) => void;
  /** When so many answers in a row had named no limit that it is over; nothing if it isn't. */
  readonly endedAt: () => number | undefined;
  /** Requests a second that are granted now. */
  readonly rate: () => number;
  /** @returns Milliseconds until the request's turn, and whether it has one: no longer than its patience, then. */
  readonly take: (patience: number) => { readonly isGranted: boolean; readonly wait: number };
}

const millisecondsPerSecond = 1_000;

/** Creates a count that has granted nothing. Whoever kept it before may have granted all that there is just now. */
export const createKeptLimit = (clock: Clock, first: LimitWord): KeptLimit => {
  const bucket = createUsageBucket(clock, 0);
  let word = first;
  /** Answers in a row that named none, each asked for after the one before had come. */
  let unnamed = 0;
  let unnamedSpan: AnswerSpan | undefined;

  /** Where a replica is silent about its limit more may be tried with each answer, so that its end shows soon. */
  const rate = (): number => {
    const named = Math.max(leastRate, word.perSecond);
    return named * doubtFactor ** Math.max(0, unnamed - doubtedAfter);
  };

  const filling = (): BucketFilling => {
    const ratePerSecond = rate();
    return { ratePerSecond, capacity: 1 + (ratePerSecond * burstTime) / millisecondsPerSecond };
  };

  return {
    hear: (heard) => {
      const isNew = heard.heardAt > word.heardAt;
      const isAfterUnnamed = unnamedSpan === undefined || heard.heardAt > unnamedSpan.askedAt;
      if (isNew && isAfterUnnamed) {
        unnamed = 0;
        unnamedSpan = undefined;
      }
      if (supersedes(heard, word)) word = heard;
    },
    hearUnnamed: (span) => {
      const last = unnamedSpan?.heardAt ?? word.heardAt;
      // One that was under way together with the last word may be older; one told twice counts once.
      if (span.askedAt < last) return;
      unnamed += 1;
      unnamedSpan = span;
    },
    endedAt: () => (unnamed >= endedAfter ? unnamedSpan?.heardAt : undefined),
    rate,
    take: (patience) => {
      const turn = bucket.book(1, filling(), patience);
      if (turn !== undefined) return { isGranted: true, wait: turn };
      return { isGranted: false, wait: bucket.untilRoom(1, filling()) };
    },
  };
};
