/** Counters and histograms for a collector that fetches them as text. */
import { Counter, Histogram, Registry } from "prom-client";
import type { MetricName } from "../state/constants.ts";
import type { MetricTags } from "../state/Metrics.ts";
import { Metrics } from "../state/Metrics.ts";

const prefix = "pomelocleat_";

/** Bounds in milliseconds: from what a plain service takes to the longest time that callers wait. */
const buckets = [10, 25, 50, 100, 200, 300, 400, 600, 1_000, 1_500, 2_500, 5_000, 10_000, 15_000];

/** Metrics in a registry of this process; each name always has the same tags. */
export class PrometheusMetrics extends Metrics {
  private readonly registry = new Registry();
  private readonly counters = new Map<MetricName, Counter>();
  private readonly histograms = new Map<MetricName, Histogram>();
  private readonly totals = new Map<string, number>();

  override count(name: MetricName, amount = 1, tags: MetricTags = {}): void {
    const known = this.counters.get(name);
    const counter = known ?? new Counter({ ...this.describe(name, tags), name: `${prefix}${name}_total` });
    if (known === undefined) this.counters.set(name, counter);
    counter.inc(tags, amount);
    const key = [name, ...Object.values(tags)].join(" ");
    this.totals.set(key, (this.totals.get(key) ?? 0) + amount);
  }

  override time(name: MetricName, milliseconds: number, tags: MetricTags = {}): void {
    const known = this.histograms.get(name);
    const histogram =
      known ?? new Histogram({ ...this.describe(name, tags), name: `${prefix}${name}`, buckets });
    if (known === undefined) this.histograms.set(name, histogram);
    histogram.observe(tags, milliseconds);
  }

  override snapshot(): Readonly<Record<string, number>> {
    return Object.fromEntries([...this.totals].sort());
  }

  /** @returns Everything in the text exposition format. */
  text(): Promise<string> {
    return this.registry.metrics();
  }

  private describe(name: MetricName, tags: MetricTags) {
    return { help: name.replaceAll("_", " "), labelNames: Object.keys(tags), registers: [this.registry] };
  }
}
