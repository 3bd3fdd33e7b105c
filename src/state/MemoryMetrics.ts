import type { MetricName } from "./constants.ts";
import type { GaugeValue, MetricTags } from "./Metrics.ts";
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
  private readonly gauges = new Map<MetricName, () => readonly GaugeValue[]>();

  override count(name: MetricName, amount = 1, tags: MetricTags = {}): void {
    const key = seriesKey(name, tags);
    this.totals.set(key, (this.totals.get(key) ?? 0) + amount);
  }

  override time(name: MetricName, _milliseconds: number, tags: MetricTags = {}): void {
    this.count(name, 1, tags);
  }

  override observe(name: MetricName, _tagNames: readonly string[], read: () => readonly GaugeValue[]): void {
    this.gauges.set(name, read);
  }

  override snapshot(): Readonly<Record<string, number>> {
    const gaugeValues = [...this.gauges].flatMap(([name, read]) =>
      read().map(({ value, tags }): [string, number] => [seriesKey(name, tags), value]),
    );
    return Object.fromEntries([...this.totals, ...gaugeValues].sort());
  }
}
