/**
 * What is left of one replica's limit, as the limit's coordinator counts it: by the newest limit that the replica has
 * reported to any router.
 */
import type { AnswerSpan, ReportedLimit } from "../../state/forwarding/reportedLimit.ts";
import { supersedes } from "../../state/forwarding/reportedLimit.ts";
import type { Clock } from "../clock.ts";
import type { BucketParameters } from "../coordinators/tokenBucket.ts";
import { createTokenBucket } from "../coordinators/tokenBucket.ts";
import {
  burstWindow,
  minRate,
  missingLimitRateFactor,
  missingLimitsToEnd,
  toleratedMissingLimits,
} from "./constants.ts";

/** A replica's limit, in force until enough consecutive answers report none. */
export interface CoordinatedLimit {
  /** An answer reported a limit. */
  readonly observeLimit: (reported: ReportedLimit) => void;
  /** An answer reported no limit. */
  readonly observeNoLimit: (span: AnswerSpan) => void;
  /** @returns When the limit ended, by consecutive answers without one; `undefined` while it is in force. */
  readonly endedAt: () => number | undefined;
  /** @returns Requests a second that are granted now. */
  readonly rate: () => number;
  /**
   * Grants a request, now or within its wait.
   *
   * @param maxWait - The longest time for which the request may wait, milliseconds.
   * @returns Milliseconds until the grant is valid; if there is none, until there is room.
   */
  readonly acquire: (maxWait: number) => { readonly isGranted: boolean; readonly wait: number };
}

const millisecondsPerSecond = 1_000;

/** Creates a limit with an empty bucket: the previous coordinator may have granted all that there is just now. */
export const createCoordinatedLimit = (clock: Clock, first: ReportedLimit): CoordinatedLimit => {
  const bucket = createTokenBucket(clock, 0);
  let newest = first;
  /** Consecutive answers without a limit, each requested after the one before had arrived. */
  let missing = 0;
  let missingSpan: AnswerSpan | undefined;

  /** Rises with each answer without a limit, so that the end of the limit shows soon. */
  const rate = (): number => {
    const reportedRate = Math.max(minRate, newest.perSecond);
    return reportedRate * missingLimitRateFactor ** Math.max(0, missing - toleratedMissingLimits);
  };

  const parameters = (): BucketParameters => {
    const ratePerSecond = rate();
    return { ratePerSecond, capacity: 1 + (ratePerSecond * burstWindow) / millisecondsPerSecond };
  };

  return {
    observeLimit: (reported) => {
      const isNew = reported.receivedAt > newest.receivedAt;
      const isAfterMissing = missingSpan === undefined || reported.receivedAt > missingSpan.askedAt;
      if (isNew && isAfterMissing) {
        missing = 0;
        missingSpan = undefined;
      }
      if (supersedes(reported, newest)) newest = reported;
    },
    observeNoLimit: (span) => {
      const last = missingSpan?.receivedAt ?? newest.receivedAt;
      // An answer that was in flight together with the last one may be older; one that is reported twice counts once.
      if (span.askedAt < last) return;
      missing += 1;
      missingSpan = span;
    },
    endedAt: () => (missing >= missingLimitsToEnd ? missingSpan?.receivedAt : undefined),
    rate,
    acquire: (maxWait) => {
      const grantedWait = bucket.reserve(1, parameters(), maxWait);
      if (grantedWait !== undefined) return { isGranted: true, wait: grantedWait };
      return { isGranted: false, wait: bucket.timeUntilAvailable(1, parameters()) };
    },
  };
};
