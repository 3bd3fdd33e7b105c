/**
 * Reads and writes the records of quarantined requests in the platform's store. They inform routers that start later,
 * all routers after a common restart, and routers that were cut off when a request was quarantined. The store's order
 * of records decides which router makes a trial.
 */
import { randomBytes } from "node:crypto";
import { requiresReread } from "../../protocol/errors.ts";
import type { Fingerprint } from "../../protocol/forwarding/fingerprint.ts";
import type { RecordFeed } from "../../protocol/forwarding/RecordFeed.ts";
import type { StorePosition } from "../../protocol/StorePosition.ts";
import type { FeedRecord, QuarantineRecord } from "../../protocol/forwarding/types.ts";
import type { EpochSource, StoreEpoch } from "../../protocol/storeEpoch.ts";
import { createLogger } from "../../state/log.ts";
import { createBoundedMap } from "../../state/boundedMap.ts";
import { maxQuarantined } from "./constants.ts";
import type { QuarantinedTraits } from "./quarantinedTraits.ts";
import { applyEach } from "../applyEach.ts";

export interface QuarantineRecordsDependencies {
  readonly feed: RecordFeed<QuarantineRecord>;
  readonly quarantined: QuarantinedTraits;
  readonly epochs: Pick<EpochSource, "current">;
  /** Called for a request that the store lists as quarantined. */
  readonly onQuarantined: (fingerprint: Fingerprint, record: QuarantineRecord, epoch: StoreEpoch) => void;
  /** Called for a request that the store no longer lists. */
  readonly onReleased: (fingerprint: Fingerprint) => void;
}

/** Methods resolve with whether the store could be reached, unless they say otherwise. */
export interface QuarantineRecords {
  /** Applies all records that the store has by now. */
  readonly read: () => Promise<boolean>;
  /** Records a quarantined request, unless a router has done so. */
  readonly write: (fingerprint: Fingerprint) => Promise<boolean>;
  readonly drop: (fingerprint: Fingerprint) => Promise<boolean>;
  /** @returns Whether this router makes the next trial of a request. */
  readonly claimTrial: (fingerprint: Fingerprint) => Promise<boolean>;
}

const trialIdBytes = 9;

const writeLog = createLogger("quarantine");

/** Creates access to the records; nothing is read yet. */
export const createQuarantineRecords = (dependencies: QuarantineRecordsDependencies): QuarantineRecords => {
  const { feed, quarantined, epochs } = dependencies;
  /**
   * Requests whose records this router has dropped: the store may list them again after a return from an older copy.
   */
  const dropped = createBoundedMap<true>(maxQuarantined);
  let next: StorePosition | undefined;
  let isFailing = false;
  let last: Promise<boolean> = Promise.resolve(true);

  const apply = ({ position, key, value }: FeedRecord<QuarantineRecord>): void => {
    if (value === undefined) dependencies.onReleased(key);
    else dependencies.onQuarantined(key, value, position.epoch);
  };

  /** A removal that is read before the request's own record belongs to an earlier quarantine of the same request. */
  const isOfEarlierQuarantine = ({ key, value }: FeedRecord<QuarantineRecord>): boolean => {
    const known = quarantined.get(key);
    return value === undefined && known !== undefined && known.recordedIn === undefined;
  };

  const applyChange = (record: FeedRecord<QuarantineRecord>): void => {
    if (isOfEarlierQuarantine(record)) return;
    // A record that is written after this router dropped the request quarantines it anew.
    if (record.value !== undefined) dropped.delete(record.key);
    apply(record);
  };

  /** Drops again the records that this router has dropped before; they may come from an older copy of the store. */
  const applyCopy = async (records: readonly FeedRecord<QuarantineRecord>[]): Promise<void> => {
    const wanted = records.filter(({ key }) => !dropped.has(key));
    applyEach("applyQuarantineRecord", wanted, apply);
    for (const { key } of records) if (dropped.has(key)) await feed.drop(key);
  };

  const readNewest = async (): Promise<StorePosition> => {
    const page = await feed.newest();
    const present = new Set(page.records.map(({ key }) => key));
    // The store may have lost records of an earlier epoch: those requests stay quarantined and are written again.
    for (const [fingerprint, { recordedIn }] of quarantined.entries()) {
      if (recordedIn === page.next.epoch && !present.has(fingerprint)) dependencies.onReleased(fingerprint);
    }
    await applyCopy(page.records);
    return page.next;
  };

  const readChanges = async (): Promise<void> => {
    next ??= await readNewest();
    for (;;) {
      const page = await feed.changes(next, 0);
      applyEach("applyQuarantineRecord", page.records, applyChange);
      next = page.next;
      if (page.isComplete) return;
    }
  };

  const readAll = async (): Promise<void> => {
    try {
      await readChanges();
    } catch (error) {
      if (!requiresReread(error)) throw error;
      next = undefined;
      await readChanges();
    }
  };

  /** Runs operations one after another, so that records are applied in the store's order. */
  const enqueue = (operation: () => Promise<void>): Promise<boolean> => {
    const previous = last;
    const run = async (): Promise<boolean> => {
      await previous;
      try {
        await operation();
        isFailing = false;
        return true;
      } catch (error) {
        if (!isFailing) writeLog("store_failed", { reason: String(error) });
        isFailing = true;
        return false;
      }
    };
    last = run();
    return last;
  };

  const write = async (fingerprint: Fingerprint): Promise<void> => {
    await readAll();
    const known = quarantined.get(fingerprint);
    if (known === undefined || known.recordedIn === epochs.current()) return;
    known.recordedIn = await feed.put(fingerprint, known.record);
    dropped.delete(fingerprint);
  };

  const drop = async (fingerprint: Fingerprint): Promise<void> => {
    // Records that precede the removal must not be read after it.
    await readAll();
    await feed.drop(fingerprint);
    dropped.set(fingerprint, true);
  };

  return {
    read: () => enqueue(readAll),
    write: (fingerprint) => enqueue(() => write(fingerprint)),
    drop: (fingerprint) => enqueue(() => drop(fingerprint)),
    claimTrial: async (fingerprint) => {
      const trial = randomBytes(trialIdBytes).toString("base64url");
      const isDone = await enqueue(async () => {
        await write(fingerprint);
        const known = quarantined.get(fingerprint);
        if (known === undefined || !quarantined.isTrialDue(fingerprint)) return;
        await feed.put(fingerprint, { ...known.record, trials: known.record.trials + 1, trial });
        // Of several trials recorded at once, the first one in the store's order counts.
        await readAll();
      });
      return isDone && quarantined.get(fingerprint)?.record.trial === trial;
    },
  };
};
