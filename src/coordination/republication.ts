/**
 * Republishes the current configuration under its existing version before its records expire from the log, so that
 * a reader without any state can always start. The router that holds a lease does so on behalf of all routers.
 */
import { encodeConfigurationRecord } from "../protocol/configuration/record.ts";
import { logStreams } from "../protocol/constants.ts";
import type { ConfigurationHistory } from "../state/configurationHistory.ts";
import { metricNames } from "../state/constants.ts";
import { createLogger } from "../state/log.ts";
import { pause } from "./clock.ts";
import { republicationLeaseName } from "./leases/constants.ts";
import { startLease } from "./leases/lease.ts";
import type { LeaseDependencies } from "./leases/lease.ts";
import type { LeaseView } from "./leases/types.ts";

export interface RepublicationDependencies extends Omit<LeaseDependencies, "name" | "history"> {
  readonly leases: LeaseDependencies["history"];
  readonly configuration: ConfigurationHistory;
  /** How long the log service keeps a record, in milliseconds. */
  readonly retention: number;
}

/** Runs until it is disposed. */
export interface Republication extends AsyncDisposable {
  readonly view: () => LeaseView;
}

/** Share of the retention after which the record is appended again. */
const republicationAgeShare = 0.5;

/** How often the record's age is checked within one retention period. */
const checksPerRetention = 48;

const writeLog = createLogger("restatement");

/** Starts to republish the configuration when its record becomes old. */
export const startRepublication = (dependencies: RepublicationDependencies): Republication => {
  const { clock, log, configuration, retention, metrics } = dependencies;
  const stop = new AbortController();
  const lease = startLease({ ...dependencies, name: republicationLeaseName, history: dependencies.leases });

  /**
   * Whether the record is old enough to be appended again. Its time is by the log service's clock, which must record
   * one. That clock and this router's may differ by some minutes, but the retention is much longer.
   */
  const isDue = (): boolean => {
    const record = configuration.wholeRecord();
    return record === undefined || clock.wall() - record.appendedAt >= retention * republicationAgeShare;
  };

  /**
   * Prevents appending again before the new record is read back, which takes a while if this router learns from
   * peers.
   */
  let republishedAt = Number.NEGATIVE_INFINITY;
  const wasRepublishedRecently = (): boolean =>
    clock.monotonic() - republishedAt < retention * (republicationAgeShare / 2);

  const republish = async (): Promise<void> => {
    const record = configuration.republication();
    if (record === undefined || wasRepublishedRecently() || !isDue()) return;
    if (lease.tenure()?.isValid() !== true) return;
    // A lost answer is harmless: a later check shows whether the record was appended.
    await log.append(logStreams.configuration, [encodeConfigurationRecord(record)]);
    republishedAt = clock.monotonic();
    metrics.count(metricNames.republications);
    writeLog("restated", { version: record.version });
  };

  const run = async (): Promise<void> => {
    while (!stop.signal.aborted) {
      await republish().catch(() => undefined);
      await pause(clock, retention / checksPerRetention, stop.signal);
    }
  };
  const task = run();

  return {
    view: lease.view,
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await task;
      await lease[Symbol.asyncDispose]();
    },
  };
};
