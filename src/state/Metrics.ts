import type { MetricName } from "./constants.ts";

/** Tags of a measurement. Each tag should have few distinct values, since every combination is a separate series. */
export type MetricTags = Readonly<Record<string, string>>;

/** One value of a gauge. */
export interface GaugeValue {
  readonly value: number;
  readonly tags: MetricTags;
}

/** Counters, timings and gauges of a process. */
export abstract class Metrics {
  abstract count(name: MetricName, amount?: number, tags?: MetricTags): void;

  /** @param milliseconds - The measured time. */
  abstract time(name: MetricName, milliseconds: number, tags?: MetricTags): void;

  /**
   * Registers a gauge.
   *
   * @param tagNames - The tags that each value has.
   * @param read - Called whenever the metrics are read; returns all present values.
   */
  abstract observe(name: MetricName, tagNames: readonly string[], read: () => readonly GaugeValue[]): void;

  /** @returns The totals so far by name and tags, for the state dump. */
  abstract snapshot(): Readonly<Record<string, number>>;
}
