/** What admission did to each class and each organisation, from the records of runs. */
import { warmUp } from "../model/constants.ts";
import { percentilesOf } from "../model/figures.ts";
import type { Mix } from "../model/mixes.ts";
import type { SimulationResult } from "../model/simulation.ts";
import type { RequestRecord } from "../model/types.ts";

/** How one class fared. Parts are of its requests. */
export interface ClassOutcome {
  readonly className: string;
  readonly perSecond: number;
  readonly inTime: number;
  /** First token after the deadline: admitted although it could not be in time. */
  readonly late: number;
  readonly refused: number;
  readonly unanswered: number;
  /** Milliseconds, of those answered. */
  readonly p99: number;
  /** Milliseconds from the moment at which no engine could have made the deadline to the refusal, p99. */
  readonly hopelessFor: number;
}

/** How one organisation fared. */
export interface OrganisationOutcome {
  readonly organisation: string;
  readonly standing: number;
  readonly offeredPerSecond: number;
  /** The most admitted within one second, over all routers. */
  readonly mostAdmittedPerSecond: number;
  readonly limitPerSecond: number;
  /** The most under way at once, over all routers. */
  readonly mostConcurrent: number;
  readonly limitConcurrent: number;
  readonly refused: number;
  /** Part of its requests whose first token came in time. */
  readonly inTime: number;
}

const share = (records: readonly RequestRecord[], counts: (record: RequestRecord) => boolean): number =>
  records.length === 0 ? 0 : records.filter(counts).length / records.length;

const isRefused = ({ outcome }: RequestRecord): boolean => outcome === "refused";

const measured = (result: SimulationResult): readonly RequestRecord[] =>
  result.records.filter(({ arrival }) => arrival.at >= warmUp);

const deadlineOf = (mix: Mix, className: string): number =>
  mix.configuration.classes.find(({ name }) => name === className)?.firstTokenDeadline ?? Infinity;

const isInTime = (mix: Mix, { arrival, firstTokenAfter }: RequestRecord): boolean =>
  firstTokenAfter !== undefined && firstTokenAfter <= deadlineOf(mix, arrival.className);

/** How long a refused request had been hopeless, by what the best engine held when it came. */
const hopelessTime = (
  mix: Mix,
  { arrival, cachedAnywhereTokens: heldTokens, endedAfter }: RequestRecord,
): number => {
  const { prefillOverhead, prefillTokensPerSecond } = mix.engine;
  const prefill = prefillOverhead + ((arrival.promptTokens - heldTokens) * 1000) / prefillTokensPerSecond;
  const hopelessAfter = Math.max(0, deadlineOf(mix, arrival.className) - prefill);
  return Math.max(0, (endedAfter ?? 0) - hopelessAfter);
};

const percentile = (values: readonly number[], part: number): number => {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))] ?? 0;
};

/** One line for each class. */
export const classOutcomes = (
  results: readonly SimulationResult[],
  mix: Mix,
  duration: number,
): readonly ClassOutcome[] => {
  const all = results.flatMap(measured);
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
        records.filter(isRefused).map((record) => hopelessTime(mix, record)),
        0.99,
      ),
    };
  });
};

/** The most intervals that overlap at one moment. */
const mostAtOnce = (intervals: readonly (readonly [number, number])[]): number => {
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

const second = 1000;

const mostOf = (
  results: readonly SimulationResult[],
  organisation: string,
  of: (intervals: readonly (readonly [number, number])[]) => number,
): number =>
  results.reduce((most, result) => {
    const records = measured(result).filter(({ arrival }) => arrival.organisation === organisation);
    return Math.max(most, of(admittedTimes(records)));
  }, 0);

/** One line for each organisation; the most over all runs where a limit is at stake. */
export const organisationOutcomes = (
  results: readonly SimulationResult[],
  mix: Mix,
  duration: number,
): readonly OrganisationOutcome[] => {
  const all = results.flatMap(measured);
  const seconds = (results.length * (duration - warmUp)) / 1000;
  return mix.configuration.organisations.map(({ name, standing, limits }) => {
    const records = all.filter(({ arrival }) => arrival.organisation === name);
    const withinSecond = (intervals: readonly (readonly [number, number])[]): number =>
      mostAtOnce(intervals.map(([from]) => [from, from + second]));
    return {
      organisation: name,
      standing,
      offeredPerSecond: records.length / seconds,
      mostAdmittedPerSecond: mostOf(results, name, withinSecond),
      limitPerSecond: limits.requestsPerSecond,
      mostConcurrent: mostOf(results, name, mostAtOnce),
      limitConcurrent: limits.concurrentRequests,
      refused: share(records, isRefused),
      inTime: share(records, (record) => isInTime(mix, record)),
    };
  });
};
