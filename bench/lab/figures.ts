/** Computes the figures of experiment runs: shares of requests, worth, latency, tokens and limits. */
import type { LabRecord } from "./caller.ts";
import type { LimitPeriod } from "./fleet.ts";
import { allowedInWindow, mostInAnyWindow } from "../../tests/support/limitAllowance.ts";
import type { LabResult } from "./simulation.ts";

/**
 * Figures of one run. Shares are 0 to 1 and exclude requests that their callers cancelled early; tokens are in
 * thousands.
 */
export interface LabFigures {
  readonly served: number;
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  /** Worth of the answers as a share of what in-time answers to all requests would be worth. */
  readonly worth: number;
  /** The lowest `worth` over windows of two seconds. */
  readonly worstWindow: number;
  /** 99th percentile of the time to first token of served requests, milliseconds. */
  readonly firstTokenP99: number;
  readonly computed: number;
  /** Tokens of shared parts computed although some engine had them cached a short time before. */
  readonly again: number;
  readonly copied: number;
  /** Number of preempted requests. */
  readonly preempted: number;
  /** Most requests that a limited engine got in any window, as a ratio to what its limit allows; 0 without limits. */
  readonly worstIntake: number;
  /** Requests that limited engines got, as a ratio to the rates of their limits. */
  readonly limitUse: number;
  /** Requests from routers to engines that had reported to them that they drain. */
  readonly afterDraining: number;
  /** Most requests of one router to an engine within one backoff that the engine had asked it for. */
  readonly worstInBackoff: number;
  /**
   * Mean requests to engines in the third second after they had refused all requests, as a ratio to those of the other
   * engines, at most 1.
   */
  readonly recovered: number;
  /** Datagrams between routers per request. */
  readonly messages: number;
}

/** Mean and standard deviation over seeds. */
export interface Spread {
  readonly mean: number;
  readonly deviation: number;
}

const worthWindow = 2_000;
const thousand = 1_000;
const tailQuantile = 0.99;

const isInTime = ({ outcome, firstTokenAfter, arrival }: LabRecord): boolean =>
  outcome === "served" && (firstTokenAfter ?? Number.POSITIVE_INFINITY) <= arrival.kind.objective;

const earnedWorthOf = (record: LabRecord): number => {
  if (record.outcome !== "served") return 0;
  const { worth, lateWorth } = record.arrival.kind;
  return isInTime(record) ? worth : lateWorth;
};

const worthOf = (records: readonly LabRecord[]): number => {
  const fullWorth = records.reduce((sum, { arrival }) => sum + arrival.kind.worth, 0);
  return fullWorth === 0 ? 1 : records.reduce((sum, record) => sum + earnedWorthOf(record), 0) / fullWorth;
};

const worstWindowOf = (records: readonly LabRecord[]): number => {
  const windows = new Map<number, LabRecord[]>();
  for (const record of records) {
    const window = Math.floor(record.arrival.at / worthWindow);
    windows.set(window, [...(windows.get(window) ?? []), record]);
  }
  return Math.min(1, ...[...windows.values()].map(worthOf));
};

/** Requests count against a limit from this long after it is set, milliseconds. */
const limitGrace = 3_000;

const worstIntakeOf = ({ arrivals, perSecond, since, until }: LimitPeriod): number => {
  const counted = arrivals.filter((at) => at >= since + limitGrace && at < until);
  return mostInAnyWindow(counted) / allowedInWindow(perSecond);
};

const limitUseOf = (limits: readonly LimitPeriod[]): number => {
  const received = limits.map(
    ({ arrivals, since, until }) => arrivals.filter((at) => at >= since + limitGrace && at < until).length,
  );
  const allowed = limits.map(
    ({ perSecond, since, until }) => (perSecond * (until - since - limitGrace)) / thousand,
  );
  const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);
  return sum(received) / Math.max(1, sum(allowed));
};

/** Time within which engines that refused all requests should get their share again, milliseconds. */
const recoveryTime = 3_000;

const recoveredOf = ({ replicas, refusals }: LabResult["fleet"]): number => {
  const shares = refusals.map(({ engines, until }) => {
    const meanOf = (group: LabResult["fleet"]["replicas"]): number =>
      group.reduce((sum, { arrivals }) => sum + arrivals.filter(isInThirdSecond).length, 0) / group.length;
    const isInThirdSecond = (at: number): boolean =>
      at >= until + recoveryTime - thousand && at < until + recoveryTime;
    return meanOf(replicas.slice(0, engines)) / Math.max(1, meanOf(replicas.slice(engines)));
  });
  return Math.min(1, ...shares);
};

/** @param warmUp - Requests that arrived earlier are left out, seconds. */
export const figuresOf = (result: LabResult, warmUp: number): LabFigures => {
  const { records, totals, limits } = result;
  const counted = records.filter(
    ({ outcome, arrival }) => outcome !== "left" && arrival.at >= warmUp * thousand,
  );
  const shareOf = (matches: (record: LabRecord) => boolean): number =>
    counted.filter(matches).length / Math.max(1, counted.length);
  const firstTokens = counted
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
    worth: worthOf(counted),
    worstWindow: worstWindowOf(counted),
    firstTokenP99: firstTokens[Math.floor(firstTokens.length * tailQuantile)] ?? 0,
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
