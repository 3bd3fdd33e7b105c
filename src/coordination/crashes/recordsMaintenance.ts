/** Keeps the store's records and what a router holds back in step: the first read, and what the store has not taken. */
import type { Fingerprint } from "../../protocol/forwarding/fingerprint.ts";
import type { EpochSource } from "../../protocol/storeEpoch.ts";
import type { Clock } from "../clock.ts";
import { pause } from "../clock.ts";
import { firstReadPatience, otherWriterDelay, quarantineTime, recordInterval } from "./constants.ts";
import type { Held, HeldRequests } from "./quarantinedRequests.ts";
import type { QuarantineRecords } from "./quarantineRecords.ts";

/** What upkeep works with. */
export interface RecordsUpkeepParts {
  readonly held: HeldRequests;
  readonly records: QuarantineRecords;
  readonly clock: Clock;
  readonly epochs: EpochSource;
  /** A request has been held back for as long as one is. */
  readonly onLapsed: (fingerprint: Fingerprint) => void;
}

/** See {@link startRecordsUpkeep}. */
export interface RecordsUpkeep extends AsyncDisposable {
  /** Whether what the store knows has been read, or was waited for long enough. */
  readonly isKnown: () => boolean;
  /** Resolves when that is so. */
  readonly known: Promise<unknown>;
  /** Has the store forget a request, as soon as it can be reached. */
  readonly drop: (fingerprint: Fingerprint) => void;
  /** A request is held back again. */
  readonly keep: (fingerprint: Fingerprint) => void;
  /** Whether the store has yet to forget a request. */
  readonly isDropping: (fingerprint: Fingerprint) => boolean;
}

/** Starts to read and write until it is disposed of. */
export const startRecordsUpkeep = (parts: RecordsUpkeepParts): RecordsUpkeep => {
  const { held, records, clock, epochs, onLapsed } = parts;
  const over = new AbortController();
  const dropping = new Set<Fingerprint>();
  let isKnown = false;
  let epochSince = Number.NEGATIVE_INFINITY;
  epochs.subscribe(() => {
    epochSince = clock.monotonic();
  });

  const dropAll = async (): Promise<void> => {
    for (const fingerprint of dropping) {
      if (await records.drop(fingerprint)) dropping.delete(fingerprint);
    }
  };

  /** A router that saw none of the crashes leaves the writing to one that did, which may have ended. */
  const isToBeWritten = ({ recordedIn, isOwn, since }: Held): boolean =>
    recordedIn !== epochs.current() &&
    (isOwn || clock.monotonic() - Math.max(since, epochSince) > otherWriterDelay);

  const keepUp = async (): Promise<void> => {
    await dropAll();
    for (const [fingerprint, known] of held.entries()) {
      if (clock.monotonic() - known.since > quarantineTime) onLapsed(fingerprint);
      else if (isToBeWritten(known)) await records.write(fingerprint);
    }
  };

  const look = async (): Promise<void> => {
    while (!over.signal.aborted) {
      await pause(clock, recordInterval, over.signal);
      if (dropping.size > 0 || held.size() > 0) await keepUp();
    }
  };

  const readFirst = async (): Promise<void> => {
    while (!over.signal.aborted && !(await records.read())) await pause(clock, recordInterval, over.signal);
  };

  const waitForFirst = async (): Promise<void> => {
    await Promise.race([readFirst(), pause(clock, firstReadPatience, over.signal)]);
    isKnown = true;
  };
  const known = waitForFirst();
  const looking = look();

  return {
    isKnown: () => isKnown,
    known,
    isDropping: (fingerprint) => dropping.has(fingerprint),
    keep: (fingerprint) => {
      dropping.delete(fingerprint);
    },
    drop: (fingerprint) => {
      dropping.add(fingerprint);
      void dropAll();
    },
    [Symbol.asyncDispose]: async () => {
      over.abort();
      await Promise.all([known, looking]);
    },
  };
};
