import type { MetricName } from "./constants.ts";
import type { MetricTags } from "./Metrics.ts";
import { Metrics } from "./Metrics.ts";

const seriesKey = (name: MetricName, tags: MetricTags): string => {
  const tagTexts = Object.entries(tags).map(([tag, value]) => `${tag}=${value}`);
  return tagTexts.length === 0 ? name : `${name}{${tagTexts.join(",")}}`;
};

/**
 * Counts in memory only: for state dumps, for tests, and as the base of other implementations. Of timings it keeps the
 * number, not the durations.
 */
export class MemoryMetrics extends Metrics {
  private readonly totals = new Map<string, number>();

  override count(name: MetricName, amount = 1, tags: MetricTags = {}): void {
    const key = seriesKey(name, tags);
    this.totals.set(key, (this.totals.get(key) ?? 0) + amount);
  }

  override time(name: MetricName, _milliseconds: number, tags: MetricTags = {}): void {
    this.count(name, 1, tags);
  }

  override gauge(name: MetricName, value: number, tags: MetricTags = {}): void {
    this.totals.set(seriesKey(name, tags), value);
  }

  override snapshot(): Readonly<Record<string, number>> {
    return Object.fromEntries([...this.totals].sort());
  }
}
