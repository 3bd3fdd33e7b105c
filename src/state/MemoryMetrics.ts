import type { MetricName } from "./constants.ts";
import type { MetricTags } from "./Metrics.ts";
import { Metrics } from "./Metrics.ts";

const keyOf = (name: MetricName, tags: MetricTags): string => {
  const parts = Object.entries(tags).map(([tag, value]) => `${tag}=${value}`);
  return parts.length === 0 ? name : `${name}{${parts.join(",")}}`;
};

/** Counts in memory only: for dumps, for tests, and below another implementation. */
export class MemoryMetrics extends Metrics {
  private readonly totals = new Map<string, number>();

  override count(name: MetricName, amount = 1, tags: MetricTags = {}): void {
    const key = keyOf(name, tags);
    this.totals.set(key, (this.totals.get(key) ?? 0) + amount);
  }

  override time(name: MetricName, _milliseconds: number, tags: MetricTags = {}): void {
    this.count(name, 1, tags);
  }

  override snapshot(): Readonly<Record<string, number>> {
    return Object.fromEntries([...this.totals].sort());
  }
}
