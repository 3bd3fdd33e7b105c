/** What a replica's answer named as its limit, and what this router believes of it. */
import type { ReportedSpan, ReportedLimitMessage } from "../../protocol/forwarding/reportedLimitMessage.ts";
import type { ReplicaState } from "./replicaState.ts";

/** When an answer was asked for and when its head came, milliseconds on the monotonic clock. */
export interface AnswerSpan {
  readonly askedAt: number;
  readonly heardAt: number;
}

/** A limit that an answer named. */
export interface LimitWord extends AnswerSpan {
  /** Requests a second from all routers together. */
  readonly perSecond: number;
}

const perThousand = 1_000;

/** @returns The span in ages, as other routers are told of it. */
export const tellSpan = ({ askedAt, heardAt }: AnswerSpan, now: number): ReportedSpan => ({
  askedAge: Math.max(0, Math.round(now - askedAt)),
  receivedAge: Math.max(0, Math.round(now - heardAt)),
});

/** @returns The span on this router's clock. */
export const takeSpan = ({ askedAge, receivedAge: heardAge }: ReportedSpan, now: number): AnswerSpan => ({
  askedAt: now - askedAge,
  heardAt: now - heardAge,
});

/** @returns The word as other routers are told of it. */
export const tellWord = (word: LimitWord, now: number): ReportedLimitMessage => ({
  perThousandSeconds: Math.round(word.perSecond * perThousand),
  ...tellSpan(word, now),
});

/** @returns A word that another router told. */
export const takeWord = (told: ReportedLimitMessage, now: number): LimitWord => ({
  perSecond: told.perThousandSeconds / perThousand,
  ...takeSpan(told, now),
});

/**
 * Whether one of two words is to be believed after the other. Answers overtake one another: of two that were under way
 * at the same time nobody knows which one the replica gave first, and the lower limit is the safe one.
 */
export const supersedes = (word: LimitWord, known: LimitWord): boolean => {
  if (word.askedAt >= known.heardAt) return true;
  return word.heardAt > known.askedAt && word.perSecond <= known.perSecond;
};

/** Takes what another router told of a replica's limit, unless something newer is known here. */
export const noteToldLimit = (replica: ReplicaState, told: ReportedLimitMessage, now: number): void => {
  const word = takeWord(told, now);
  if (word.heardAt <= replica.limitEndedAt) return;
  if (replica.limit === undefined || word.heardAt > replica.limit.heardAt) replica.limit = word;
};
