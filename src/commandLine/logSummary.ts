/** Counts refusals and failures by cause and time, from the log lines of any number of routers. */
import type { LogLine } from "./logLines.ts";
import { fieldOf } from "./logLines.ts";

/** One cause and how often it occurred in each span of time. */
export interface CauseCounts {
  readonly cause: string;
  readonly total: number;
  /** One number for each span, from the first line to the last. */
  readonly counts: readonly number[];
}

/** Refusals and failures by cause and time. */
export interface LogSummary {
  /** When the first span begins, ISO 8601; `undefined` without log lines. */
  readonly from: string | undefined;
  readonly spanSeconds: number;
  /** The most frequent first. */
  readonly causes: readonly CauseCounts[];
}

/** Events of refused and failed requests and attempts. */
const failureEvents: ReadonlySet<string> = new Set([
  "refused",
  "failed",
  "failed_there",
  "stream_broken",
  "attempt_failed",
  "no_replica",
]);

const millisecondsPerSecond = 1_000;

/** Replaces numbers and addresses, so that reasons that differ only in them count as one cause. */
const generaliseReason = (reason: string): string => reason.replaceAll(/\d+(?:\.\d+)*(?::\d+)?/g, "N");

const causeOf = (line: LogLine): string => {
  const detail =
    line.event === "attempt_failed" ? fieldOf(line, "fault") : generaliseReason(fieldOf(line, "reason"));
  return detail === "-" ? line.event : `${line.event}: ${detail}`;
};

/**
 * Counts refusals and failures.
 *
 * @param spanSeconds - Length of a span, seconds.
 */
export const summarise = (lines: readonly LogLine[], spanSeconds: number): LogSummary => {
  const times = lines.map(({ at }) => Date.parse(at));
  const first = times.reduce((least, time) => Math.min(least, time), Number.POSITIVE_INFINITY);
  const last = times.reduce((most, time) => Math.max(most, time), Number.NEGATIVE_INFINITY);
  if (lines.length === 0) return { from: undefined, spanSeconds, causes: [] };
  const spanOf = (time: number): number => Math.floor((time - first) / (spanSeconds * millisecondsPerSecond));
  const spans = spanOf(last) + 1;
  const byCause = new Map<string, number[]>();
  for (const line of lines) {
    if (line.part !== "requests" || !failureEvents.has(line.event)) continue;
    const cause = causeOf(line);
    const counts = byCause.get(cause) ?? new Array<number>(spans).fill(0);
    const span = spanOf(Date.parse(line.at));
    counts[span] = (counts[span] ?? 0) + 1;
    byCause.set(cause, counts);
  }
  const causes = [...byCause].map(([cause, counts]) => ({
    cause,
    total: counts.reduce((sum, count) => sum + count, 0),
    counts,
  }));
  return {
    from: new Date(first).toISOString(),
    spanSeconds,
    causes: causes.sort((left, right) => right.total - left.total),
  };
};
