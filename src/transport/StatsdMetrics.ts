/** Metrics to a StatsD receiver, by hot-shots; totals are kept in memory as well, for state dumps. */
import type { StatsD } from "hot-shots";
import type { MetricName } from "../state/constants.ts";
import { MemoryMetrics } from "../state/MemoryMetrics.ts";
import type { MetricTags } from "../state/Metrics.ts";

/** Counts in memory and sends the same on. */
export class StatsdMetrics extends MemoryMetrics {
  private readonly client: StatsD;

  /** @param client - Configured with prefix and global tags; closed by its owner. */
  constructor(client: StatsD) {
    super();
    this.client = client;
  }

  override count(name: MetricName, amount = 1, tags: MetricTags = {}): void {
    super.count(name, amount, tags);
    this.client.increment(name, amount, tags);
  }

  override time(name: MetricName, milliseconds: number, tags: MetricTags = {}): void {
    super.count(name, 1, tags);
    this.client.timing(name, milliseconds, tags);
  }
}
