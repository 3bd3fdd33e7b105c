/** What runs of an experiment come to: shares of requests, worth and where it was lost, tokens. */
import type { LabRecord } from "./caller.ts";
import type { LimitPeriod } from "./fleet.ts";
import { allowedInWindow, mostInAnyWindow } from "../../tests/support/limitAllowance.ts";
import type { LabResult } from "./simulation.ts";

/** Figures of one run. Shares are of requests that are owed an answer, 0 to 1; tokens are thousands. */
export interface LabFigures {
  readonly served: number;
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  /** Share of the worth owed that was earned. */
  readonly worth: number;
  /** The least of it over windows of two seconds. */
  readonly worstWindow: number;
  /** First token, 99 of 100 of those served, milliseconds. */
  readonly firstTokenP99: number;
  readonly computed: number;
  readonly again: number;
  readonly copied: number;
  readonly preempted: number;
  /** The most that a limited engine got in any window, of what its limit allows; 0 where none was limited. */
  readonly worstIntake: number;
  /** What came to limited engines, of what their limits are good for. */
  readonly limitUse: number;
  /** Requests to engines that had told the router that they drain. */
  readonly afterDraining: number;
  /** The most requests of one router to an engine within one backoff that it had asked for. */
  readonly worstInBackoff: number;
  /** What came to engines in the third second after they had turned everything away, of what came to the others. */
  readonly recovered: number;
  /** Datagrams between routers for each request. */
  readonly messages: number;
}

/** A mean over seeds with the standard deviation. */
export interface Spread {
  readonly mean: number;
  readonly deviation: number;
}

const windowLength = 2_000;
const thousand = 1_000;
const tail = 0.99;

const isInTime = ({ outcome, firstTokenAfter, arrival }: LabRecord): boolean =>
  outcome === "served" && (firstTokenAfter ?? Number.POSITIVE_INFINITY) <= arrival.kind.objective;

const earned = (record: LabRecord): number => {
  if (record.outcome !== "served") return 0;
  const { worth, lateWorth } = record.arrival.kind;
  return isInTime(record) ? worth : lateWorth;
};

const worthOf = (records: readonly LabRecord[]): number => {
  const owed = records.reduce((sum, { arrival }) => sum + arrival.kind.worth, 0);
  return owed === 0 ? 1 : records.reduce((sum, record) => sum + earned(record), 0) / owed;
};

const worstWindowOf = (records: readonly LabRecord[]): number => {
  const windows = new Map<number, LabRecord[]>();
  for (const record of records) {
    const window = Math.floor(record.arrival.at / windowLength);
    windows.set(window, [...(windows.get(window) ?? []), record]);
  }
  return Math.min(1, ...[...windows.values()].map(worthOf));
};

/** From so long after a limit was first named what comes is judged, milliseconds. */
const limitGrace = 3_000;

const worstIntakeOf = ({ arrivals, perSecond, since, until }: LimitPeriod): number => {
  const counted = arrivals.filter((at) => at >= since + limitGrace && at < until);
  return mostInAnyWindow(counted) / allowedInWindow(perSecond);
};

const limitUseOf = (limits: readonly LimitPeriod[]): number => {
  const came = limits.map(
    ({ arrivals, since, until }) => arrivals.filter((at) => at >= since + limitGrace && at < until).length,
  );
  const allowed = limits.map(
    ({ perSecond, since, until }) => (perSecond * (until - since - limitGrace)) / thousand,
  );
  const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);
  return sum(came) / Math.max(1, sum(allowed));
};

/** Engines that turned everything away are to have their share again within so long, milliseconds. */
const recoveryTime = 3_000;

const recoveredOf = ({ replicas, refusals }: LabResult["fleet"]): number => {
  const shares = refusals.map(({ engines, until }) => {
    const meanOf = (some: LabResult["fleet"]["replicas"]): number =>
      some.reduce((sum, { arrivals }) => sum + arrivals.filter(isThird).length, 0) / some.length;
    const isThird = (at: number): boolean =>
      at >= until + recoveryTime - thousand && at < until + recoveryTime;
    return meanOf(replicas.slice(0, engines)) / Math.max(1, meanOf(replicas.slice(engines)));
  });
  return Math.min(1, ...shares);
};

/** @param warmUp - Requests that came earlier are left out, seconds. */
export const figuresOf = (result: LabResult, warmUp: number): LabFigures => {
  const { records, totals, limits } = result;
  const owed = records.filter(
    ({ outcome, arrival }) => outcome !== "left" && arrival.at >= warmUp * thousand,
  );
  const shareOf = (matches: (record: LabRecord) => boolean): number =>
    owed.filter(matches).length / Math.max(1, owed.length);
  const firstTokens = owed
    .flatMap(({ outcome, firstTokenAfter }) => (outcome === "served" ? [firstTokenAfter ?? 0] : []))
    .sort((left, right) => left - right);
  const served = shareOf(({ outcome }) => outcome === "served");
  const inTime = shareOf(isInTime);
  return {
    served,
    inTime,
    late: served - inTime,
    refused: shareOf(({ outcome }) => outcome === "refused"),
    failed: shareOf(({ outcome }) => outcome === "failed"),
    worth: worthOf(owed),
    worstWindow: worstWindowOf(owed),
    firstTokenP99: firstTokens[Math.floor(firstTokens.length * tail)] ?? 0,
    computed: totals.computed / thousand,
    again: totals.recomputed / thousand,
    copied: totals.copied / thousand,
    preempted: totals.preempted,
    worstIntake: Math.max(0, ...limits.map(worstIntakeOf)),
    limitUse: limitUseOf(limits),
    afterDraining: result.fleet.reports.afterDraining(),
    worstInBackoff: result.fleet.reports.worstInBackoff(),
    recovered: recoveredOf(result.fleet),
    messages: result.messages / Math.max(1, records.length),
  };
};

/** @returns Mean and standard deviation of one figure over runs. */
export const spreadOf = (runs: readonly LabFigures[], figure: keyof LabFigures): Spread => {
  const values = runs.map((run) => run[figure]);
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
  const squares = values.reduce((sum, value) => sum + (value - mean) ** 2, 0);
  return { mean, deviation: Math.sqrt(squares / Math.max(1, values.length - 1)) };
};
