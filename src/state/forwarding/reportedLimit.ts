/** What a replica's answer named as its limit, and what this router believes of it. */
import type { ReportedSpan, ReportedLimitMessage } from "../../protocol/forwarding/reportedLimitMessage.ts";
import type { ReplicaState } from "./replicaState.ts";

/** When an answer was asked for and when its head came, milliseconds on the monotonic clock. */
export interface AnswerSpan {
  readonly askedAt: number;
  readonly receivedAt: number;
}

/** A limit that an answer named. */
export interface ReportedLimit extends AnswerSpan {
  /** Requests a second from all routers together. */
  readonly perSecond: number;
}

const perThousand = 1_000;

/** @returns The span in ages, as other routers are told of it. */
export const toReportedSpan = ({ askedAt, receivedAt: heardAt }: AnswerSpan, now: number): ReportedSpan => ({
  askedAge: Math.max(0, Math.round(now - askedAt)),
  receivedAge: Math.max(0, Math.round(now - heardAt)),
});

/** @returns The span on this router's clock. */
export const fromReportedSpan = (
  { askedAge, receivedAge: heardAge }: ReportedSpan,
  now: number,
): AnswerSpan => ({
  askedAt: now - askedAge,
  receivedAt: now - heardAge,
});

/** @returns The word as other routers are told of it. */
export const toReportedLimitMessage = (word: ReportedLimit, now: number): ReportedLimitMessage => ({
  perThousandSeconds: Math.round(word.perSecond * perThousand),
  ...toReportedSpan(word, now),
});

/** @returns A word that another router told. */
export const fromReportedLimitMessage = (told: ReportedLimitMessage, now: number): ReportedLimit => ({
  perSecond: told.perThousandSeconds / perThousand,
  ...fromReportedSpan(told, now),
});

/**
 * Whether one of two words is to be believed after the other. Answers overtake one another: of two that were under way
 * at the same time nobody knows which one the replica gave first, and the lower limit is the safe one.
 */
export const supersedes = (word: ReportedLimit, known: ReportedLimit): boolean => {
  if (word.askedAt >= known.receivedAt) return true;
  return word.receivedAt > known.askedAt && word.perSecond <= known.perSecond;
};

/** Takes what another router told of a replica's limit, unless something newer is known here. */
export const noteAnnouncedLimit = (replica: ReplicaState, told: ReportedLimitMessage, now: number): void => {
  const word = fromReportedLimitMessage(told, now);
  if (word.receivedAt <= replica.limitEndedAt) return;
  if (replica.limit === undefined || word.receivedAt > replica.limit.receivedAt) replica.limit = word;
};
