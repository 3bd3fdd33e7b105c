/** Computes the outcome of admission for each request class and organisation from the records of runs. */
import { warmUp } from "../model/constants.ts";
import { percentilesOf } from "../model/figures.ts";
import type { Mix } from "../model/mixes.ts";
import type { SimulationResult } from "../model/simulation.ts";
import type { RequestRecord } from "../model/types.ts";

/** Outcome of one request class. Shares are fractions of its requests. */
export interface ClassOutcome {
  readonly className: string;
  /** Requests offered per second. */
  readonly perSecond: number;
  readonly inTime: number;
  /** First token after the deadline: admitted although the deadline could not be met. */
  readonly late: number;
  readonly refused: number;
  readonly unanswered: number;
  /** Time to first token of the answered requests, milliseconds. */
  readonly p99: number;
  /** Milliseconds between the point at which no engine could meet the deadline any more and the refusal, p99. */
  readonly hopelessFor: number;
}

/** Outcome of one organisation. */
export interface OrganisationOutcome {
  readonly organisation: string;
  readonly standing: number;
  readonly offeredPerSecond: number;
  /** Most requests admitted within any one second, summed over all routers. */
  readonly mostAdmittedPerSecond: number;
  readonly limitPerSecond: number;
  /** Most concurrent requests, summed over all routers. */
  readonly mostConcurrent: number;
  readonly limitConcurrent: number;
  readonly refused: number;
  /** Share of its requests whose first token met the deadline. */
  readonly inTime: number;
}

const share = (records: readonly RequestRecord[], matches: (record: RequestRecord) => boolean): number =>
  records.length === 0 ? 0 : records.filter(matches).length / records.length;

const isRefused = ({ outcome }: RequestRecord): boolean => outcome === "refused";

const recordsAfterWarmUp = (result: SimulationResult): readonly RequestRecord[] =>
  result.records.filter(({ arrival }) => arrival.at >= warmUp);

const deadlineOf = (mix: Mix, className: string): number =>
  mix.configuration.classes.find(({ name }) => name === className)?.firstTokenDeadline ?? Infinity;

const isInTime = (mix: Mix, { arrival, firstTokenAfter }: RequestRecord): boolean =>
  firstTokenAfter !== undefined && firstTokenAfter <= deadlineOf(mix, arrival.className);

/**
 * Milliseconds for which a refused request could no longer meet its deadline when it was refused, based on the most
 * tokens that an engine had cached when it arrived.
 */
const infeasibleTime = (
  mix: Mix,
  { arrival, cachedAnywhereTokens: heldTokens, endedAfter }: RequestRecord,
): number => {
  const { prefillOverhead, prefillTokensPerSecond } = mix.engine;
  const prefill = prefillOverhead + ((arrival.promptTokens - heldTokens) * 1000) / prefillTokensPerSecond;
  const infeasibleAfter = Math.max(0, deadlineOf(mix, arrival.className) - prefill);
  return Math.max(0, (endedAfter ?? 0) - infeasibleAfter);
};

const percentile = (values: readonly number[], share: number): number => {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
};

/**
 * Computes the outcome of each class.
 *
 * @param results - Runs with different seeds.
 * @param duration - Simulated milliseconds of each run, warm-up included.
 * @returns One outcome per class, in the order of the mix.
 */
export const classOutcomes = (
  results: readonly SimulationResult[],
  mix: Mix,
  duration: number,
): readonly ClassOutcome[] => {
  const all = results.flatMap(recordsAfterWarmUp);
  const seconds = (results.length * (duration - warmUp)) / 1000;
  return mix.classes.map(({ className }) => {
    const records = all.filter(({ arrival }) => arrival.className === className);
    const inTime = share(records, (record) => isInTime(mix, record));
    const answered = share(records, ({ firstTokenAfter }) => firstTokenAfter !== undefined);
    const refused = share(records, isRefused);
    return {
      className,
      perSecond: records.length / seconds,
      inTime,
      late: answered - inTime,
      refused,
      unanswered: share(records, (record) => !isRefused(record) && record.firstTokenAfter === undefined),
      p99: percentilesOf(records).p99,
      hopelessFor: percentile(
        records.filter(isRefused).map((record) => infeasibleTime(mix, record)),
        0.99,
      ),
    };
  });
};

/** @returns The most intervals that overlap at any time. */
const maxOverlap = (intervals: readonly (readonly [number, number])[]): number => {
  const steps = intervals.flatMap(([from, until]) => [
    { at: from, change: 1 },
    { at: until, change: -1 },
  ]);
  steps.sort((left, right) => left.at - right.at || left.change - right.change);
  let now = 0;
  return steps.reduce((most, { change }) => Math.max(most, (now += change)), 0);
};

const admittedTimes = (records: readonly RequestRecord[]): readonly (readonly [number, number])[] =>
  records.flatMap(({ arrival: { at }, assignedAfter, endedAfter }) =>
    assignedAfter === undefined ? [] : [[at + assignedAfter, at + (endedAfter ?? Infinity)] as const],
  );

const oneSecond = 1000;

const maxOverRuns = (
  results: readonly SimulationResult[],
  organisation: string,
  of: (intervals: readonly (readonly [number, number])[]) => number,
): number =>
  results.reduce((most, result) => {
    const records = recordsAfterWarmUp(result).filter(({ arrival }) => arrival.organisation === organisation);
    return Math.max(most, of(admittedTimes(records)));
  }, 0);

/**
 * Computes the outcome of each organisation. Figures that are compared with a limit are the maximum over all runs.
 *
 * @param results - Runs with different seeds.
 * @param duration - Simulated milliseconds of each run, warm-up included.
 * @returns One outcome per organisation, in the order of the configuration.
 */
export const organisationOutcomes = (
  results: readonly SimulationResult[],
  mix: Mix,
  duration: number,
): readonly OrganisationOutcome[] => {
  const all = results.flatMap(recordsAfterWarmUp);
  const seconds = (results.length * (duration - warmUp)) / 1000;
  return mix.configuration.organisations.map(({ name, standing, limits }) => {
    const records = all.filter(({ arrival }) => arrival.organisation === name);
    const withinSecond = (intervals: readonly (readonly [number, number])[]): number =>
      maxOverlap(intervals.map(([from]) => [from, from + oneSecond]));
    return {
      organisation: name,
      standing,
      offeredPerSecond: records.length / seconds,
      mostAdmittedPerSecond: maxOverRuns(results, name, withinSecond),
      limitPerSecond: limits.requestsPerSecond,
      mostConcurrent: maxOverRuns(results, name, maxOverlap),
      limitConcurrent: limits.concurrentRequests,
      refused: share(records, isRefused),
      inTime: share(records, (record) => isInTime(mix, record)),
    };
  });
};
