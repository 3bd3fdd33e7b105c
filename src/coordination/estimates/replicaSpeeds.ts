/**
 * The prefill rates of replicas under load, as their owners measure them. In small deployments every router measures
 * all replicas, from its own requests and from the work that its peers announce.
 */
import type { AnnouncedWork } from "../../protocol/forwarding/peerMessage.ts";
import { createBoundedMap } from "../../state/boundedMap.ts";
import type { BoundedMap } from "../../state/boundedMap.ts";
import { metricNames } from "../../state/constants.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import { priorities, tokensAhead, weightsGeneration } from "../../state/forwarding/replicaState.ts";
import { createLogger } from "../../state/log.ts";
import type { Metrics } from "../../state/Metrics.ts";
import type { Clock } from "../clock.ts";
import { ageEstimate, estimateLifetime, isLoggedChange, medianOf } from "./ageing.ts";
import type { BusyRate } from "./busyRate.ts";
import { createBusyRate } from "./busyRate.ts";

export interface ReplicaSpeedsDependencies {
  readonly replicas: Pick<ReplicaTable, "all" | "get" | "getByKey">;
  readonly clock: Clock;
  /** Learned speeds are used for a service whose slowest and fastest replica differ by this factor or more. */
  readonly minSpread: number;
  /** @returns Whether this router measures the replica: it is its owner, or there are few routers. */
  readonly isMeasured: (replica: ReplicaState) => boolean;
  /** @returns Whether this router publishes metrics of the replica; exactly one router does. */
  readonly isOwnerOf: (replica: ReplicaState) => boolean;
}

export interface ReplicaSpeeds {
  /** Notes that a prompt of this router has got its first token, after its tokens were removed from the replica. */
  readonly notePromptComputed: (replica: ReplicaState, tokens: number) => void;
  /** Notes that this router's work at a replica has changed. */
  readonly noteOwnWork: (replica: ReplicaState) => void;
  /**
   * Notes another router's work at a replica, after it was applied to the replica's state.
   *
   * @param incarnation - Of the reporting router's process.
   * @param prefilledTokens - Tokens of its prompts there that have got a first token since its process started.
   */
  readonly noteReport: (
    replica: ReplicaState,
    router: string,
    incarnation: string,
    prefilledTokens: number,
  ) => void;
  /** Notes all work that a peer announces, after it was applied. */
  readonly noteAnnounced: (router: string, incarnation: string, work: readonly AnnouncedWork[]) => void;
  /** Notes the rate in an owner's answer. */
  readonly noteReceivedRate: (replica: ReplicaState, rate: number) => void;
  /** @returns The rate to report as the owner, prompt tokens per millisecond; 0 if none is known. */
  readonly reportedRate: (replica: ReplicaState) => number;
  /**
   * @returns The rate to use in placement; `undefined` if no recent one is known, or if the replicas of the service do
   * not differ enough.
   */
  readonly rateOf: (replica: ReplicaState) => number | undefined;
  /** @returns The median rate of a service's replicas; `undefined` if they do not differ enough. */
  readonly medianRate: (service: string) => number | undefined;
}

/** What this router measures of one replica. */
interface Measurement {
  readonly generation: number;
  readonly busyRate: BusyRate;
  /** By router: its last report. */
  readonly reported: BoundedMap<Reported>;
  loggedRate: number | undefined;
}

interface Reported {
  readonly incarnation: string;
  readonly prefilledTokens: number;
  readonly reportedAt: number;
}

/** The rates of one service's replicas. */
interface ServiceRates {
  /** The replicas with a recent rate. */
  readonly recent: Set<ReplicaState>;
  median: number | undefined;
  isUneven: boolean;
  computedAt: number;
}

/** Interval between two computations of a service's median and spread, milliseconds. */
const summaryInterval = 250;

/**
 * Tokens are counted only if the previous report of the router is not older, milliseconds: it is not known when they
 * were computed. Busy routers report every second, so that one report may be lost.
 */
const maxReportGap = 2_500;

/** Routers whose last report is kept for a replica; more than large deployments have. */
const maxReporters = 1_024;

const speedTags = ["service", "replica"];

const writeLog = createLogger("estimates");

/** Publishes the rate that each replica with a recent one is held for, and the age of the rate. */
export const publishSpeeds = (
  speeds: Pick<ReplicaSpeeds, "reportedRate">,
  { replicas, clock, isOwnerOf }: Pick<ReplicaSpeedsDependencies, "replicas" | "clock" | "isOwnerOf">,
  metrics: Metrics,
): void => {
  const read = (valueOf: (replica: ReplicaState, age: number) => number) => () =>
    replicas.all().flatMap((replica) => {
      const { entry, reportedRate } = replica;
      if (reportedRate === undefined || !isOwnerOf(replica)) return [];
      const age = clock.monotonic() - reportedRate.receivedAt;
      if (age >= estimateLifetime) return [];
      return [{ value: valueOf(replica, age), tags: { service: entry.service, replica: entry.id } }];
    });
  metrics.observe(metricNames.replicaPrefillRate, speedTags, read(speeds.reportedRate));
  metrics.observe(
    metricNames.replicaPrefillRateAge,
    speedTags,
    read((_, age) => Math.round(age)),
  );
};

/** Creates the rates of all replicas that one router knows. */
export const createReplicaSpeeds = (dependencies: ReplicaSpeedsDependencies): ReplicaSpeeds => {
  const { replicas, clock, minSpread, isMeasured } = dependencies;
  const services = new Map<string, ServiceRates>();
  const measurements = new WeakMap<ReplicaState, Measurement>();
  /** By peer: the replicas of its last announcement. */
  const announced = new Map<string, readonly ReplicaState[]>();

  /** @returns The last rate of the replica with its present weights. */
  const lastRate = (replica: ReplicaState): ReplicaState["reportedRate"] =>
    replica.reportedRate?.generation === weightsGeneration(replica) ? replica.reportedRate : undefined;

  const isRecent = (replica: ReplicaState): boolean => {
    const rate = lastRate(replica);
    const isListed = replicas.get(replica.entry.id) === replica;
    return isListed && rate !== undefined && clock.monotonic() - rate.receivedAt < estimateLifetime;
  };

  const ratesOfService = (service: string): ServiceRates => {
    const known = services.get(service);
    if (known !== undefined) return known;
    const created = {
      recent: new Set<ReplicaState>(),
      median: undefined,
      isUneven: false,
      computedAt: Number.NEGATIVE_INFINITY,
    };
    services.set(service, created);
    return created;
  };

  /** The last median remains while no rate of the service is recent. */
  const summaryOf = (service: string): ServiceRates => {
    const summary = ratesOfService(service);
    const now = clock.monotonic();
    if (now - summary.computedAt < summaryInterval) return summary;
    summary.computedAt = now;
    for (const replica of summary.recent) if (!isRecent(replica)) summary.recent.delete(replica);
    const rates = [...summary.recent].map(({ reportedRate }) => reportedRate?.rate ?? 0);
    summary.median = medianOf(rates) ?? summary.median;
    if (rates.length > 0) summary.isUneven = Math.max(...rates) >= minSpread * Math.min(...rates);
    return summary;
  };

  const setRate = (replica: ReplicaState, rate: number): void => {
    const generation = weightsGeneration(replica);
    replica.reportedRate = { rate, receivedAt: clock.monotonic(), generation };
    ratesOfService(replica.entry.service).recent.add(replica);
  };

  /** @returns The aged rate of a replica, or the median; `undefined` before any rate of the service is known. */
  const expectedRate = (replica: ReplicaState): number | undefined => {
    const { median } = summaryOf(replica.entry.service);
    const last = lastRate(replica);
    if (last === undefined) return median;
    return ageEstimate(last.rate, clock.monotonic() - last.receivedAt, median ?? last.rate);
  };

  /** Starts again with new weights: their rate may be another one. */
  const measurementOf = (replica: ReplicaState): Measurement => {
    const known = measurements.get(replica);
    const generation = weightsGeneration(replica);
    if (known?.generation === generation) return known;
    const created: Measurement = {
      generation,
      busyRate: createBusyRate(),
      reported: known?.reported ?? createBoundedMap(maxReporters),
      loggedRate: known?.loggedRate,
    };
    measurements.set(replica, created);
    return created;
  };

  const logChange = ({ entry }: ReplicaState, measurement: Measurement, rate: number): void => {
    const { loggedRate } = measurement;
    if (loggedRate !== undefined && !isLoggedChange(loggedRate, rate)) return;
    measurement.loggedRate = rate;
    writeLog("prefill_rate_changed", {
      replica: entry.id,
      service: entry.service,
      tokensPerMillisecond: Math.round(rate),
      before: loggedRate === undefined ? null : Math.round(loggedRate),
    });
  };

  /**
   * A router that is not the owner learns only of the work of routers that could not reach the owner: it would hold the
   * replica for much slower than it is.
   */
  const measure = (replica: ReplicaState, computedTokens: number): void => {
    if (!isMeasured(replica)) {
      measurements.get(replica)?.busyRate.pause();
      return;
    }
    const measurement = measurementOf(replica);
    const outstandingTokens = tokensAhead(replica, priorities - 1);
    const sample = { now: clock.monotonic(), outstandingTokens, computedTokens };
    const rate = measurement.busyRate.note(sample, expectedRate(replica));
    if (rate === undefined) return;
    setRate(replica, rate);
    logChange(replica, measurement, rate);
  };

  const noteReport: ReplicaSpeeds["noteReport"] = (replica, router, incarnation, prefilledTokens) => {
    const now = clock.monotonic();
    const { reported } = measurementOf(replica);
    const before = reported.get(router);
    reported.set(router, { incarnation, prefilledTokens, reportedAt: now });
    const isComparable = before?.incarnation === incarnation && now - before.reportedAt <= maxReportGap;
    measure(replica, isComparable ? Math.max(0, prefilledTokens - before.prefilledTokens) : 0);
  };

  return {
    notePromptComputed: (replica, tokens) => {
      replica.prefilledTokens += tokens;
      measure(replica, tokens);
    },
    noteOwnWork: (replica) => measure(replica, 0),
    noteReport,
    noteAnnounced: (router, incarnation, work) => {
      for (const replica of announced.get(router) ?? []) measure(replica, 0);
      const busy = work.flatMap(({ replica: key, prefilledTokens }) => {
        const replica = replicas.getByKey(key);
        if (replica === undefined) return [];
        noteReport(replica, router, incarnation, prefilledTokens);
        return [replica];
      });
      if (busy.length > 0) announced.set(router, busy);
      else announced.delete(router);
    },
    noteReceivedRate: setRate,
    reportedRate: (replica) => (isRecent(replica) ? (expectedRate(replica) ?? 0) : 0),
    rateOf: (replica) =>
      summaryOf(replica.entry.service).isUneven && isRecent(replica) ? expectedRate(replica) : undefined,
    medianRate: (service) => {
      const { isUneven, median } = summaryOf(service);
      return isUneven ? median : undefined;
    },
  };
};
