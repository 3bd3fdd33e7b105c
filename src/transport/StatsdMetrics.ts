/** Sends metrics to a StatsD server with hot-shots, and keeps totals in memory for state dumps. */
import type { StatsD } from "hot-shots";
import type { MetricName } from "../state/constants.ts";
import { MemoryMetrics } from "../state/MemoryMetrics.ts";
import type { MetricTags } from "../state/Metrics.ts";

/** Counts in memory and sends each value to StatsD. */
export class StatsdMetrics extends MemoryMetrics {
  private readonly client: StatsD;

  /** @param client - Configured with a prefix and global tags; its owner closes it. */
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

  override gauge(name: MetricName, value: number, tags: MetricTags = {}): void {
    super.gauge(name, value, tags);
    this.client.gauge(name, value, tags);
  }
}
