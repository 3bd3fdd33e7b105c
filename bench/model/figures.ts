/** Computes figures from the records of one or several runs. */
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { warmUp } from "./constants.ts";
import type { Mix } from "./mixes.ts";
import type { SimulationResult } from "./simulation.ts";
import type { RequestRecord } from "./types.ts";

/** Percentiles of the time to first token of a set of requests, milliseconds. */
export interface Percentiles {
  readonly count: number;
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
  /**
   * The 99th percentile over all requests, with refused and unanswered ones counted as infinite; `Infinity` if they
   * are more than a hundredth. Without it, a policy that refuses many requests would look fast.
   */
  readonly p99OfAll: number;
}

/** Figures of one policy, mix and scenario over all seeds. Shares are 0 to 1. */
export interface Figures {
  readonly requests: number;
  /** Share of the prompt tokens of started attempts that engines took from their caches. */
  readonly hitRate: number;
  /** Share of the same tokens that were computed although some other live engine had them cached. */
  readonly wasted: number;
  /** Requests per second whose first token came within their class's deadline. */
  readonly goodput: number;
  /** Share of all requests. */
  readonly refused: number;
  /** Share of all requests that got no first token: cancelled by the caller, failed, or open when the run ended. */
  readonly unanswered: number;
  /** Share of the engines' time spent on prefill. */
  readonly prefillShare: number;
  readonly classes: Readonly<Record<string, Percentiles>>;
}

/** @returns Whether a record is included. */
export type RecordFilter = (record: RequestRecord) => boolean;

const microsecondsPerMillisecond = 1000;

/**
 * @returns The time to first token. Without one, the time that the caller waited, which is a lower bound.
 */
const observedWait = ({ firstTokenAfter, endedAfter }: RequestRecord): number =>
  firstTokenAfter ?? endedAfter ?? 0;

const createHistogram = (times: readonly number[]): Histogram => {
  const histogram = build({ bitBucketSize: 32, autoResize: true, numberOfSignificantValueDigits: 3 });
  for (const time of times) histogram.recordValue(Math.round(time * microsecondsPerMillisecond));
  return histogram;
};

const percentileOfAll = (records: readonly RequestRecord[], percentile: number): number => {
  const times = records.flatMap(({ firstTokenAfter }) => firstTokenAfter ?? []);
  const rank = (percentile / 100) * records.length;
  if (times.length === 0 || rank > times.length) return Infinity;
  return (
    createHistogram(times).getValueAtPercentile((100 * rank) / times.length) / microsecondsPerMillisecond
  );
};

/** Computes percentiles of the time to first token, without refused requests but for `p99OfAll`. */
export const percentilesOf = (records: readonly RequestRecord[]): Percentiles => {
  const histogram = createHistogram(records.filter(({ outcome }) => outcome !== "refused").map(observedWait));
  const valueAt = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
  return {
    count: histogram.totalCount,
    p50: valueAt(50),
    p99: valueAt(99),
    p999: valueAt(99.9),
    p99OfAll: percentileOfAll(records, 99),
  };
};

const sum = (records: readonly RequestRecord[], of: (record: RequestRecord) => number): number =>
  records.reduce((total, record) => total + of(record), 0);

const isInTime = ({ arrival, firstTokenAfter }: RequestRecord, mix: Mix): boolean => {
  const found = mix.configuration.classes.find(({ name }) => name === arrival.className);
  return firstTokenAfter !== undefined && firstTokenAfter <= (found?.firstTokenDeadline ?? 0);
};

/** @returns The records of requests that arrived after the warm-up. */
export const measuredRecords = (results: readonly SimulationResult[]): readonly RequestRecord[] =>
  results.flatMap(({ records }) => records.filter(({ arrival }) => arrival.at >= warmUp));

/**
 * Computes the figures of the requests that arrived after the warm-up.
 *
 * @param results - One result for each seed.
 * @param duration - Simulated milliseconds of each run, including the warm-up.
 */
export const figuresOf = (
  results: readonly SimulationResult[],
  mix: Mix,
  duration: number,
  filter: RecordFilter = () => true,
): Figures => {
  const records = measuredRecords(results).filter(filter);
  const requests = records.length;
  const started = sum(records, ({ startedTokens }) => startedTokens);
  const count = (counts: RecordFilter): number => records.filter(counts).length;
  const seconds = ((duration - warmUp) / 1000) * results.length;
  return {
    requests,
    hitRate: sum(records, ({ cachedTokens }) => cachedTokens) / started,
    wasted: sum(records, ({ wastedTokens }) => wastedTokens) / started,
    goodput: count((record) => isInTime(record, mix)) / seconds,
    refused: count(({ outcome }) => outcome === "refused") / requests,
    unanswered:
      count(({ outcome, firstTokenAfter }) => outcome !== "refused" && firstTokenAfter === undefined) /
      requests,
    prefillShare:
      results.reduce((total, { prefillShare }) => total + prefillShare, 0) / Math.max(1, results.length),
    classes: Object.fromEntries(
      mix.classes.map(({ className }) => [
        className,
        percentilesOf(records.filter(({ arrival }) => arrival.className === className)),
      ]),
    ),
  };
};
