/**
 * Estimates how fast replicas are from the answers that this router forwards, and from what the owners of replicas
 * report where learned speeds are used.
 */
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import {
  assumedPrefillRate,
  assumedServiceTime,
  smoothingFactor,
  minRateSampleTokens,
} from "../forwarding/constants.ts";
import { createAgedEstimates } from "./agedEstimates.ts";
import type { ReplicaSpeeds } from "./replicaSpeeds.ts";

export interface ReplicaEstimates {
  /** @returns Prompt tokens that the engine computes per millisecond. */
  readonly prefillRate: (replica: string) => number;
  /** @returns Average milliseconds that the replica takes for a request. */
  readonly serviceTime: (replica: string) => number;
  /**
   * Updates an engine's prefill rate from a request that found it idle.
   *
   * @param tokens - Prompt tokens that the engine computed.
   * @param milliseconds - Time to the first token.
   */
  readonly learnPrefill: (replica: string, tokens: number, milliseconds: number) => void;
  readonly learnServiceTime: (replica: string, milliseconds: number) => void;
  readonly forget: (replica: string) => void;
}

/** Needed where learned speeds are used and estimates age. */
export interface AgeingDependencies {
  readonly replicas: Pick<ReplicaTable, "get">;
  readonly clock: Clock;
  readonly speeds: Pick<ReplicaSpeeds, "medianRate" | "rateOf">;
}

const writeLog = createLogger("estimates");

const minPrefillRate = 1;

/** A single slow answer says little: it counts as at most this many times the average. */
const maxOutlierFactor = 4;

const toRate = (tokens: number, milliseconds: number): number =>
  Math.max(minPrefillRate, tokens / Math.max(1, milliseconds));

const createAgeingEstimates = ({ replicas, clock, speeds }: AgeingDependencies): ReplicaEstimates => {
  const rates = createAgedEstimates({
    replicas,
    clock,
    assumed: assumedPrefillRate,
    // Placement uses the rates that owners measure, and `replicaSpeeds.ts` logs them, where rates differ much.
    onChange: () => undefined,
  });
  const times = createAgedEstimates({
    replicas,
    clock,
    assumed: assumedServiceTime,
    onChange: ({ entry }, milliseconds, before) =>
      writeLog("service_time_changed", {
        replica: entry.id,
        service: entry.service,
        milliseconds: Math.round(milliseconds),
        before: Math.round(before),
      }),
  });
  return {
    prefillRate: (id) => {
      const replica = replicas.get(id);
      const shared = replica && speeds.rateOf(replica);
      return shared ?? rates.significant(id, replica && speeds.medianRate(replica.entry.service));
    },
    serviceTime: times.significant,
    learnPrefill: (id, tokens, milliseconds) => {
      if (tokens < minRateSampleTokens) return;
      const before = rates.current(id);
      const rate = toRate(tokens, milliseconds);
      rates.learn(id, Math.min(before * maxOutlierFactor, Math.max(before / maxOutlierFactor, rate)));
    },
    learnServiceTime: (id, milliseconds) => {
      times.learn(id, Math.min(milliseconds, times.current(id) * maxOutlierFactor));
    },
    forget: (id) => {
      rates.forget(id);
      times.forget(id);
    },
  };
};

const createLastingEstimates = (): ReplicaEstimates => {
  const rates = new Map<string, number>();
  const times = new Map<string, number>();

  const updateAverage = (
    values: Map<string, number>,
    replica: string,
    value: number,
    assumed: number,
  ): void => {
    const before = values.get(replica) ?? assumed;
    values.set(replica, before + (value - before) * smoothingFactor);
  };

  return {
    prefillRate: (replica) => rates.get(replica) ?? assumedPrefillRate,
    serviceTime: (replica) => times.get(replica) ?? assumedServiceTime,
    learnPrefill: (replica, tokens, milliseconds) => {
      if (tokens < minRateSampleTokens) return;
      updateAverage(rates, replica, toRate(tokens, milliseconds), assumedPrefillRate);
    },
    learnServiceTime: (replica, milliseconds) => {
      const before = times.get(replica) ?? assumedServiceTime;
      updateAverage(times, replica, Math.min(milliseconds, before * maxOutlierFactor), assumedServiceTime);
    },
    forget: (replica) => {
      rates.delete(replica);
      times.delete(replica);
    },
  };
};

/**
 * Creates estimates that start from the assumed values.
 *
 * @param ageing - If given, estimates without new samples return to the median of the service's replicas, and the rates
 * that owners report are used for services whose replicas differ in speed.
 */
export const createReplicaEstimates = (ageing?: AgeingDependencies): ReplicaEstimates =>
  ageing === undefined ? createLastingEstimates() : createAgeingEstimates(ageing);
