/**
 * Keeps the store's records and a router's quarantined requests in step: the first read, and writes still to be made.
 */
import type { Fingerprint } from "../../protocol/forwarding/fingerprint.ts";
import type { EpochSource } from "../../protocol/storeEpoch.ts";
import type { Clock } from "../clock.ts";
import { pause } from "../clock.ts";
import {
  firstReadTimeout,
  peerAnswerTime,
  fallbackWriterDelay,
  recordsReadInterval,
  maintenanceInterval,
} from "./constants.ts";
import type { Quarantined, QuarantinedTraits } from "./quarantinedTraits.ts";
import type { QuarantineRecords } from "./quarantineRecords.ts";
import { runInBackground, runTask } from "../../state/backgroundTasks.ts";

export interface RecordsMaintenanceDependencies {
  readonly quarantined: QuarantinedTraits;
  readonly records: QuarantineRecords;
  readonly clock: Clock;
  readonly epochs: EpochSource;
  /** Called where the store does not answer the first read in time. */
  readonly queryPeers: () => void;
  /** Called for a request whose quarantine has lasted its full duration. */
  readonly onExpired: (fingerprint: Fingerprint) => void;
}

export interface RecordsMaintenance extends AsyncDisposable {
  /** @returns Whether the store's records have been read, or the timeout of the first read has passed. */
  readonly isReady: () => boolean;
  /** Resolves once `isReady` returns true. */
  readonly ready: Promise<unknown>;
  /** Drops the record of a request as soon as the store can be reached. */
  readonly drop: (fingerprint: Fingerprint) => void;
  /** Cancels a pending drop: the request is quarantined again. */
  readonly cancelDrop: (fingerprint: Fingerprint) => void;
  /** @returns Whether the record of a request is still to be dropped. */
  readonly isDropping: (fingerprint: Fingerprint) => boolean;
}

/** Starts to read and write records until it is disposed of. */
export const startRecordsMaintenance = (dependencies: RecordsMaintenanceDependencies): RecordsMaintenance => {
  const { quarantined, records, clock, epochs, queryPeers, onExpired } = dependencies;
  const stop = new AbortController();
  const dropping = new Set<Fingerprint>();
  let isReady = false;
  let readAt = clock.monotonic();
  let epochSince = Number.NEGATIVE_INFINITY;
  epochs.subscribe(() => {
    epochSince = clock.monotonic();
  });

  const dropAll = async (): Promise<void> => {
    for (const fingerprint of dropping) {
      if (await records.drop(fingerprint)) dropping.delete(fingerprint);
    }
  };

  /** A router that saw none of the crashes writes only after a delay, in case the routers that saw them have ended. */
  const needsWrite = ({ recordedIn, isOwn, since }: Quarantined): boolean =>
    recordedIn !== epochs.current() &&
    (isOwn || clock.monotonic() - Math.max(since, epochSince) > fallbackWriterDelay);

  const maintain = async (): Promise<void> => {
    await dropAll();
    if (clock.monotonic() - readAt > recordsReadInterval) {
      readAt = clock.monotonic();
      await records.read();
    }
    for (const [fingerprint, known] of quarantined.entries()) {
      if (quarantined.hasExpired(fingerprint)) onExpired(fingerprint);
      else if (needsWrite(known)) await records.write(fingerprint);
    }
  };

  const run = async (): Promise<void> => {
    while (!stop.signal.aborted) {
      await pause(clock, maintenanceInterval, stop.signal);
      if (dropping.size > 0 || quarantined.size() > 0) await runTask("maintainQuarantine", maintain);
    }
  };

  const readFirst = async (): Promise<void> => {
    while (!stop.signal.aborted && !(await records.read()))
      await pause(clock, maintenanceInterval, stop.signal);
  };

  const waitForFirst = async (): Promise<void> => {
    const reading = readFirst();
    const isInTime = await Promise.race([
      reading.then(() => true),
      pause(clock, firstReadTimeout - peerAnswerTime, stop.signal).then(() => false),
    ]);
    if (!isInTime && !stop.signal.aborted) queryPeers();
    await Promise.race([reading, pause(clock, peerAnswerTime, stop.signal)]);
    isReady = true;
  };
  const ready = waitForFirst();
  const running = run();

  return {
    isReady: () => isReady,
    ready,
    isDropping: (fingerprint) => dropping.has(fingerprint),
    cancelDrop: (fingerprint) => {
      dropping.delete(fingerprint);
    },
    drop: (fingerprint) => {
      dropping.add(fingerprint);
      runInBackground("dropQuarantineRecords", dropAll, fingerprint);
    },
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await Promise.all([ready, running]);
    },
  };
};
