/**
 * Appends the configuration in force again before its records expire from the log, under its old version, so
 * that a reader that knows nothing can always start. One router of all does it, by a lease.
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

/** What restating works with. */
export interface RepublicationDependencies extends Omit<LeaseDependencies, "name" | "history"> {
  readonly leases: LeaseDependencies["history"];
  readonly configuration: ConfigurationHistory;
  /** How long the log keeps a record, milliseconds. */
  readonly retention: number;
}

/** Runs until it is disposed of. */
export interface Republication extends AsyncDisposable {
  readonly view: () => LeaseView;
}

/** The record is appended again once this share of the retention has passed. */
const restatedShare = 0.5;

/** Looks at the record's age so often in one retention. */
const looksPerRetention = 48;

const writeLog = createLogger("restatement");

/** Starts to look after the configuration's record. */
export const startRepublication = (parts: RepublicationDependencies): Republication => {
  const { clock, log, configuration, retention, metrics } = parts;
  const stop = new AbortController();
  const lease = startLease({ ...parts, name: republicationLeaseName, history: parts.leases });

  /** The log service's clock and this one may differ by some minutes; the retention is much longer. */
  const isDue = (): boolean => {
    const record = configuration.wholeRecord();
    return record === undefined || clock.wall() - record.appendedAt >= retention * restatedShare;
  };

  /** The own record takes a while to come back, where this router learns from its peers. */
  let restatedAt = Number.NEGATIVE_INFINITY;
  const isRecent = (): boolean => clock.monotonic() - restatedAt < retention * (restatedShare / 2);

  const restate = async (): Promise<void> => {
    const record = configuration.republication();
    if (record === undefined || isRecent() || !isDue()) return;
    if (lease.tenure()?.isValid() !== true) return;
    // A lost answer does no harm: the next look shows whether the record is there.
    await log.append(logStreams.configuration, [encodeConfigurationRecord(record)]);
    restatedAt = clock.monotonic();
    metrics.count(metricNames.republications);
    writeLog("restated", { version: record.version });
  };

  const run = async (): Promise<void> => {
    while (!stop.signal.aborted) {
      await restate().catch(() => undefined);
      await pause(clock, retention / looksPerRetention, stop.signal);
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
