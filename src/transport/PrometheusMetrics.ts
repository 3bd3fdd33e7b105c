/** Metrics for Prometheus: counters, gauges and histograms that a collector scrapes as text. */
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { MetricName } from "../state/constants.ts";
import type { MetricTags } from "../state/Metrics.ts";
import { Metrics } from "../state/Metrics.ts";

const prefix = "pomelocleat_";

/** Histogram bounds in milliseconds, from the latency of a plain service to the longest time that callers wait. */
const buckets = [10, 25, 50, 100, 200, 300, 400, 600, 1_000, 1_500, 2_500, 5_000, 10_000, 15_000];

/** Metrics in a registry of their own. A metric must have the same tag names each time. */
export class PrometheusMetrics extends Metrics {
  private readonly registry = new Registry();
  private readonly counters = new Map<MetricName, Counter>();
  private readonly gauges = new Map<MetricName, Gauge>();
  private readonly histograms = new Map<MetricName, Histogram>();
  private readonly totals = new Map<string, number>();

  override count(name: MetricName, amount = 1, tags: MetricTags = {}): void {
    const existing = this.counters.get(name);
    const counter =
      existing ?? new Counter({ ...this.metricOptions(name, tags), name: `${prefix}${name}_total` });
    if (existing === undefined) this.counters.set(name, counter);
    counter.inc(tags, amount);
    const key = [name, ...Object.values(tags)].join(" ");
    this.totals.set(key, (this.totals.get(key) ?? 0) + amount);
  }

  override time(name: MetricName, milliseconds: number, tags: MetricTags = {}): void {
    const existing = this.histograms.get(name);
    const histogram =
      existing ?? new Histogram({ ...this.metricOptions(name, tags), name: `${prefix}${name}`, buckets });
    if (existing === undefined) this.histograms.set(name, histogram);
    histogram.observe(tags, milliseconds);
  }

  override gauge(name: MetricName, value: number, tags: MetricTags = {}): void {
    const existing = this.gauges.get(name);
    const gauge = existing ?? new Gauge({ ...this.metricOptions(name, tags), name: `${prefix}${name}` });
    if (existing === undefined) this.gauges.set(name, gauge);
    gauge.set(tags, value);
    this.totals.set([name, ...Object.values(tags)].join(" "), value);
  }

  override snapshot(): Readonly<Record<string, number>> {
    return Object.fromEntries([...this.totals].sort());
  }

  /** @returns All metrics in Prometheus's text exposition format. */
  text(): Promise<string> {
    return this.registry.metrics();
  }

  private metricOptions(name: MetricName, tags: MetricTags) {
    return { help: name.replaceAll("_", " "), labelNames: Object.keys(tags), registers: [this.registry] };
  }
}
