import type { MetricName } from "./constants.ts";

/** Tags of a measurement. Each tag should have few distinct values, since every combination is a separate series. */
export type MetricTags = Readonly<Record<string, string>>;

/** Counters, timings and gauges of a process. */
export abstract class Metrics {
  abstract count(name: MetricName, amount?: number, tags?: MetricTags): void;

  /** @param milliseconds - The measured time. */
  abstract time(name: MetricName, milliseconds: number, tags?: MetricTags): void;

  /** Sets the current value of a gauge. */
  abstract gauge(name: MetricName, value: number, tags?: MetricTags): void;

  /** @returns The totals so far by name and tags, for the state dump. */
  abstract snapshot(): Readonly<Record<string, number>>;
}
