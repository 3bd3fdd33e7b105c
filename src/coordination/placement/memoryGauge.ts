/**
 * Gauge of the memory that running requests reserve at the replicas that this router owns. Each service has two series
 * instead of one for each replica, whose ids change with every start.
 */
import { metricNames } from "../../state/constants.ts";
import type { GaugeValue, Metrics } from "../../state/Metrics.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import { reservedTokensAt } from "../../state/forwarding/replicaState.ts";
import type { ReplicaOwners } from "../replicaOwners/replicaOwners.ts";

export interface MemoryGaugeDependencies {
  readonly replicas: Pick<ReplicaTable, "all">;
  readonly owners: Pick<ReplicaOwners, "isOwnerOf">;
  readonly metrics: Pick<Metrics, "observe">;
}

interface Reserved {
  readonly sum: number;
  readonly largest: number;
}

/** Registers the gauge; it is computed whenever metrics are read. */
export const registerMemoryGauge = ({ replicas, owners, metrics }: MemoryGaugeDependencies): void => {
  const read = (): readonly GaugeValue[] => {
    const byService = new Map<string, Reserved>();
    for (const replica of replicas.all()) {
      const { service } = replica.entry;
      if (!owners.isOwnerOf(replica)) continue;
      const { sum, largest } = byService.get(service) ?? { sum: 0, largest: 0 };
      const tokens = reservedTokensAt(replica);
      byService.set(service, { sum: sum + tokens, largest: Math.max(largest, tokens) });
    }
    return [...byService].flatMap(([service, { sum, largest }]) => [
      { value: sum, tags: { service, statistic: "sum" } },
      { value: largest, tags: { service, statistic: "largest" } },
    ]);
  };
  metrics.observe(metricNames.reservedMemory, ["service", "statistic"], read);
};
