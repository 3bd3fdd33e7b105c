/** Holding back model requests that crash the engines that run them, over the log service, put together. */
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
import { fingerprintOfJob } from "../coordination/requests/fingerprint.ts";
import type { CompletionJob } from "../coordination/requests/types.ts";
import { logStreams } from "../protocol/constants.ts";
import { noEpochChanges } from "../protocol/storeEpoch.ts";
import type { LogService } from "../protocol/LogService.ts";
import { createResourceStack } from "../protocol/resourceStack.ts";

/** What it works with. */
export interface CompletionQuarantineParts {
  readonly log: LogService;
  readonly connect: EngineCrashMonitorDependencies["connect"];
  readonly clock: Clock;
  /** Longest wait of one read of the log for something new, milliseconds. */
  readonly longPoll: number;
}

/** See {@link createCompletionQuarantine}. */
export interface CompletionQuarantine extends AsyncDisposable {
  readonly quarantine: Quarantine<CompletionJob>;
  readonly crashes: EngineCrashMonitor;
}

/** Between two tries to read the log, milliseconds. */
const retryInterval = 200;

/** Starts to follow what other routers tell, until it is disposed of. */
export const createCompletionQuarantine = ({
  log,
  connect,
  clock,
  longPoll,
}: CompletionQuarantineParts): CompletionQuarantine => {
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
      { fingerprintOf: fingerprintOfJob, idOf: ({ context }) => context.requestId },
    ),
  );
  const crashes = createEngineCrashMonitor({ connect, clock, onCrash: quarantine.noteCrash });
  return { quarantine, crashes, [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose]() };
};
