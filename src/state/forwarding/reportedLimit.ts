/** The request limit that a replica reports in its responses: conversion to peer messages, and order of the reports. */
import type { ReportedSpan, ReportedLimitMessage } from "../../protocol/forwarding/reportedLimitMessage.ts";
import type { ReplicaState } from "./replicaState.ts";

/** When a request was sent and when the head of its response arrived, milliseconds on the monotonic clock. */
export interface AnswerSpan {
  readonly askedAt: number;
  readonly receivedAt: number;
}

/** A limit that a response reported. */
export interface ReportedLimit extends AnswerSpan {
  /** Requests per second from all routers together. */
  readonly perSecond: number;
}

const perThousand = 1_000;

/** @returns The span as ages, for a message to other routers, whose clocks differ. */
export const toReportedSpan = ({ askedAt, receivedAt }: AnswerSpan, now: number): ReportedSpan => ({
  askedAge: Math.max(0, Math.round(now - askedAt)),
  receivedAge: Math.max(0, Math.round(now - receivedAt)),
});

/** @returns The span of a message, on this router's clock. */
export const fromReportedSpan = ({ askedAge, receivedAge }: ReportedSpan, now: number): AnswerSpan => ({
  askedAt: now - askedAge,
  receivedAt: now - receivedAge,
});

/** @returns The limit for a message to other routers. */
export const toReportedLimitMessage = (limit: ReportedLimit, now: number): ReportedLimitMessage => ({
  perThousandSeconds: Math.round(limit.perSecond * perThousand),
  ...toReportedSpan(limit, now),
});

/** @returns The limit of another router's message, on this router's clock. */
export const fromReportedLimitMessage = (message: ReportedLimitMessage, now: number): ReportedLimit => ({
  perSecond: message.perThousandSeconds / perThousand,
  ...fromReportedSpan(message, now),
});

/**
 * Whether a reported limit replaces the known one. Responses can overtake one another: if two requests were in progress
 * at the same time, it is unknown which response the replica gave first, and the lower limit is the safe one.
 */
export const supersedes = (limit: ReportedLimit, known: ReportedLimit): boolean => {
  if (limit.askedAt >= known.receivedAt) return true;
  return limit.receivedAt > known.askedAt && limit.perSecond <= known.perSecond;
};

/** Applies the limit of a replica that another router announced, unless a newer one is known here. */
export const noteAnnouncedLimit = (
  replica: ReplicaState,
  message: ReportedLimitMessage,
  now: number,
): void => {
  const limit = fromReportedLimitMessage(message, now);
  if (limit.receivedAt <= replica.limitEndedAt) return;
  if (replica.limit === undefined || limit.receivedAt > replica.limit.receivedAt) replica.limit = limit;
};
