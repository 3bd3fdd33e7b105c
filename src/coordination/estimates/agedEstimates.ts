/** Estimates from a router's own samples of replicas, which return to the median of the service without new samples. */
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import { weightsGeneration } from "../../state/forwarding/replicaState.ts";
import type { Clock } from "../clock.ts";
import { smoothingFactor } from "../forwarding/constants.ts";
import {
  ageEstimate,
  estimateLifetime,
  ignoreSmallDifference,
  isLoggedChange,
  medianOf,
  staleShare,
} from "./ageing.ts";

export interface AgedEstimatesDependencies {
  readonly replicas: Pick<ReplicaTable, "get">;
  readonly clock: Clock;
  /** The value of replicas of a service without any sample. */
  readonly assumed: number;
  /** Called when an estimate has changed considerably since the last call or its first sample. */
  readonly onChange: (replica: ReplicaState, value: number, before: number) => void;
}

export interface AgedEstimates {
  /**
   * @param median - The value that estimates return to; by default the median of the service's estimates.
   * @returns The estimate of a replica; a difference from the median that is within the noise of samples is left out.
   */
  readonly significant: (id: string, median?: number) => number;
  /** @returns The estimate itself, to compare a sample with. */
  readonly current: (id: string) => number;
  readonly learn: (id: string, sample: number) => void;
  readonly forget: (id: string) => void;
}

interface Entry {
  readonly value: number;
  readonly learnedAt: number;
  readonly generation: number;
  readonly loggedValue: number;
}

interface ServiceEstimates {
  readonly entries: Map<string, Entry>;
  median: number;
  computedAt: number;
}

/** Interval between two computations of a service's median, milliseconds. */
const medianInterval = 250;

/** Additional weight of a sample after a time without samples, when the previous value says little. */
const staleSampleWeight = 0.2;

/** Creates the estimates of one kind of value. */
export const createAgedEstimates = ({
  replicas,
  clock,
  assumed,
  onChange,
}: AgedEstimatesDependencies): AgedEstimates => {
  const services = new Map<string, ServiceEstimates>();

  const ofService = (service: string): ServiceEstimates => {
    const known = services.get(service);
    if (known !== undefined) return known;
    const created = {
      entries: new Map<string, Entry>(),
      median: assumed,
      computedAt: Number.NEGATIVE_INFINITY,
    };
    services.set(service, created);
    return created;
  };

  /** The last median remains while a service gets no samples. */
  const medianOfService = (service: ServiceEstimates): number => {
    const now = clock.monotonic();
    if (now - service.computedAt < medianInterval) return service.median;
    service.computedAt = now;
    for (const [id, { learnedAt }] of service.entries) {
      if (now - learnedAt >= estimateLifetime) service.entries.delete(id);
    }
    service.median = medianOf([...service.entries.values()].map(({ value }) => value)) ?? service.median;
    return service.median;
  };

  const entryOf = (replica: ReplicaState): Entry | undefined => {
    const entry = services.get(replica.entry.service)?.entries.get(replica.entry.id);
    return entry?.generation === weightsGeneration(replica) ? entry : undefined;
  };

  const valueOf = (replica: ReplicaState, median: number): number => {
    const entry = entryOf(replica);
    return entry === undefined
      ? median
      : ageEstimate(entry.value, clock.monotonic() - entry.learnedAt, median);
  };

  return {
    significant: (id, given) => {
      const replica = replicas.get(id);
      if (replica === undefined) return given ?? assumed;
      const median = given ?? medianOfService(ofService(replica.entry.service));
      return ignoreSmallDifference(valueOf(replica, median), median);
    },
    current: (id) => {
      const replica = replicas.get(id);
      return replica === undefined
        ? assumed
        : valueOf(replica, medianOfService(ofService(replica.entry.service)));
    },
    learn: (id, sample) => {
      const replica = replicas.get(id);
      if (replica === undefined) return;
      const service = ofService(replica.entry.service);
      const now = clock.monotonic();
      const entry = entryOf(replica);
      const before = valueOf(replica, medianOfService(service));
      const share = entry === undefined ? 1 : staleShare(now - entry.learnedAt);
      const value = before + (sample - before) * (smoothingFactor + staleSampleWeight * share);
      const logged = entry?.loggedValue ?? value;
      const isChange = isLoggedChange(logged, value);
      const loggedValue = isChange ? value : logged;
      service.entries.set(id, { value, learnedAt: now, generation: weightsGeneration(replica), loggedValue });
      if (isChange) onChange(replica, value, logged);
    },
    forget: (id) => {
      for (const { entries } of services.values()) entries.delete(id);
    },
  };
};
