/** Wires up the quarantine of model requests that crash engines; routers share crash reports through the log service. */
import type { Clock } from "../coordination/clock.ts";
import type {
  EngineCrashMonitor,
  EngineCrashMonitorDependencies,
} from "../coordination/crashes/engineCrashMonitor.ts";
import { createEngineCrashMonitor } from "../coordination/crashes/engineCrashMonitor.ts";
import { allRouters, LogUpdatesLink } from "../coordination/crashes/LogUpdatesLink.ts";
import { LogRecordFeed } from "../coordination/crashes/LogRecordFeed.ts";
import type { Quarantine } from "../coordination/crashes/quarantine.ts";
import { createQuarantineFor } from "../coordination/crashes/quarantine.ts";
import { sharedTraitsOfJob, traitsOfJob } from "../coordination/requests/fingerprint.ts";
import type { CompletionJob } from "../coordination/requests/types.ts";
import { logStreams } from "../protocol/constants.ts";
import { noEpochChanges } from "../protocol/storeEpoch.ts";
import type { Metrics } from "../state/Metrics.ts";
import type { LogService } from "../protocol/LogService.ts";
import { createResourceStack } from "../protocol/resourceStack.ts";

export interface CompletionQuarantineDependencies {
  readonly log: LogService;
  readonly connect: EngineCrashMonitorDependencies["connect"];
  readonly metrics: Metrics;
  readonly clock: Clock;
  /** Timeout of one long poll of the log, milliseconds. */
  readonly longPoll: number;
}

/** The quarantine and the monitor that reports engine crashes to it. */
export interface CompletionQuarantine extends AsyncDisposable {
  readonly quarantine: Quarantine<CompletionJob>;
  readonly crashes: EngineCrashMonitor;
}

/** Delay between two attempts to read the log, milliseconds. */
const retryInterval = 200;

/** Starts to follow the crash reports of other routers in the log, until it is disposed of. */
export const createCompletionQuarantine = ({
  log,
  connect,
  metrics,
  clock,
  longPoll,
}: CompletionQuarantineDependencies): CompletionQuarantine => {
  const resources = createResourceStack();
  const link = resources.use(
    new LogUpdatesLink({ log, stream: logStreams.crashUpdates, clock, longPoll, retryInterval }),
  );
  const quarantine = resources.use(
    createQuarantineFor<CompletionJob>(
      {
        link,
        clock,
        feed: new LogRecordFeed(log, logStreams.quarantine),
        epochs: noEpochChanges,
        others: () => [allRouters],
        random: Math.random,
      },
      {
        traitsOf: traitsOfJob,
        sharedTraitsOf: sharedTraitsOfJob,
        idOf: ({ context }) => context.requestId,
      },
    ),
  );
  const crashes = createEngineCrashMonitor({ connect, metrics, clock, onCrash: quarantine.noteCrash });
  return { quarantine, crashes, [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose]() };
};
