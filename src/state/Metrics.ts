import type { MetricName } from "./constants.ts";

/** Tags of a measurement; keep their number of values small. */
export type MetricTags = Readonly<Record<string, string>>;

/** Where a process counts what it does. */
export abstract class Metrics {
  abstract count(name: MetricName, amount?: number, tags?: MetricTags): void;

  /** @param milliseconds - The measured time. */
  abstract time(name: MetricName, milliseconds: number, tags?: MetricTags): void;

  /** What has been counted so far, for a state dump. */
  abstract snapshot(): Readonly<Record<string, number>>;
}
