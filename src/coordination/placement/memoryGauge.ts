/**
 * Measures the memory that running requests reserve at the replicas that this router owns. Each service has two series
 * instead of one for each replica, whose ids change with every start.
 */
import { metricNames } from "../../state/constants.ts";
import type { Metrics } from "../../state/Metrics.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import { reservedTokensAt } from "../../state/forwarding/replicaState.ts";
import type { Clock } from "../clock.ts";
import type { ReplicaOwners } from "../replicaOwners/replicaOwners.ts";

export interface MemoryGaugeDependencies {
  readonly replicas: Pick<ReplicaTable, "all">;
  readonly owners: Pick<ReplicaOwners, "isOwnerOf">;
  readonly metrics: Metrics;
  readonly clock: Clock;
}

/** Interval between two measurements, milliseconds. */
const measurementInterval = 1_000;

interface Reserved {
  readonly sum: number;
  readonly largest: number;
}

/** Measures until it is disposed of. */
export const startMemoryGauge = (dependencies: MemoryGaugeDependencies): AsyncDisposable => {
  const { replicas, owners, metrics, clock } = dependencies;
  const services = new Set<string>();

  const measure = (): void => {
    cancel = clock.after(measurementInterval, measure);
    const byService = new Map<string, Reserved>();
    for (const replica of replicas.all()) {
      const { service } = replica.entry;
      if (!owners.isOwnerOf(replica)) continue;
      const { sum, largest } = byService.get(service) ?? { sum: 0, largest: 0 };
      const tokens = reservedTokensAt(replica);
      byService.set(service, { sum: sum + tokens, largest: Math.max(largest, tokens) });
      services.add(service);
    }
    // A service whose replicas are all owned by other routers now is set to 0.
    for (const service of services) {
      const { sum, largest } = byService.get(service) ?? { sum: 0, largest: 0 };
      metrics.gauge(metricNames.reservedMemory, sum, { service, statistic: "sum" });
      metrics.gauge(metricNames.reservedMemory, largest, { service, statistic: "largest" });
    }
  };
  let cancel = clock.after(measurementInterval, measure);

  return {
    [Symbol.asyncDispose]: () => {
      cancel();
      return Promise.resolve();
    },
  };
};
