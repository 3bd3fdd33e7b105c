/**
 * What the platform's store keeps of requests that are held back, for routers that start later, for all of them after
 * a common restart, and for those that were cut off when it was decided. Its order of records decides whose trial
 * counts.
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
import { mostHeld } from "./constants.ts";
import type { HeldRequests } from "./quarantinedRequests.ts";

/** What keeping works with. */
export interface QuarantineRecordsParts {
  readonly feed: RecordFeed<QuarantineRecord>;
  readonly held: HeldRequests;
  readonly epochs: Pick<EpochSource, "current">;
  /** A request that the store lists as quarantined. */
  readonly onHeld: (fingerprint: Fingerprint, record: QuarantineRecord, epoch: StoreEpoch) => void;
  /** One that it knows as such no more. */
  readonly onReleased: (fingerprint: Fingerprint) => void;
}

/** See {@link createQuarantineRecords}. Methods resolve with whether the store could be reached. */
export interface QuarantineRecords {
  /** Takes everything that the store knows by now. */
  readonly read: () => Promise<boolean>;
  /** Records a request that is held back, unless somebody has. */
  readonly write: (fingerprint: Fingerprint) => Promise<boolean>;
  readonly drop: (fingerprint: Fingerprint) => Promise<boolean>;
  /** @returns Whether the next trial of a request is this router's. */
  readonly claimTrial: (fingerprint: Fingerprint) => Promise<boolean>;
}

const trialNameBytes = 9;

const writeLog = createLogger("quarantine");

/** Creates records of which nothing has been read. */
export const createQuarantineRecords = (parts: QuarantineRecordsParts): QuarantineRecords => {
  const { feed, held, epochs } = parts;
  /** Requests whose records this router has dropped: an older copy of the store may list them again. */
  const dropped = createBoundedMap<true>(mostHeld);
  let next: StorePosition | undefined;
  let isFailing = false;
  let last: Promise<boolean> = Promise.resolve(true);

  const apply = ({ position, key, value }: FeedRecord<QuarantineRecord>): void => {
    if (value === undefined) parts.onReleased(key);
    else parts.onHeld(key, value, position.epoch);
  };

  /** What this router has dropped is dropped again, and not taken from a copy. */
  const applyCopy = async (records: readonly FeedRecord<QuarantineRecord>[]): Promise<void> => {
    records.filter(({ key }) => !dropped.has(key)).forEach(apply);
    for (const { key } of records) if (dropped.has(key)) await feed.drop(key);
  };

  const readNewest = async (): Promise<StorePosition> => {
    const page = await feed.newest();
    const present = new Set(page.records.map(({ key }) => key));
    // Records of an earlier epoch may have been lost: they are written again.
    for (const [fingerprint, { recordedIn }] of held.entries()) {
      if (recordedIn === page.next.epoch && !present.has(fingerprint)) parts.onReleased(fingerprint);
    }
    await applyCopy(page.records);
    return page.next;
  };

  const readOn = async (): Promise<void> => {
    next ??= await readNewest();
    for (;;) {
      const page = await feed.changes(next, 0);
      page.records.forEach(apply);
      next = page.next;
      if (page.isComplete) return;
    }
  };

  const readAll = async (): Promise<void> => {
    try {
      await readOn();
    } catch (error) {
      if (!requiresReread(error)) throw error;
      next = undefined;
      await readOn();
    }
  };

  /** One after another: records are applied in the store's order. */
  const inTurn = (act: () => Promise<void>): Promise<boolean> => {
    const before = last;
    const run = async (): Promise<boolean> => {
      await before;
      try {
        await act();
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
    const known = held.get(fingerprint);
    if (known === undefined || known.recordedIn === epochs.current()) return;
    known.recordedIn = await feed.put(fingerprint, known.record);
    dropped.delete(fingerprint);
  };

  const drop = async (fingerprint: Fingerprint): Promise<void> => {
    await feed.drop(fingerprint);
    dropped.set(fingerprint, true);
  };

  return {
    read: () => inTurn(readAll),
    write: (fingerprint) => inTurn(() => write(fingerprint)),
    drop: (fingerprint) => inTurn(() => drop(fingerprint)),
    claimTrial: async (fingerprint) => {
      const trial = randomBytes(trialNameBytes).toString("base64url");
      const isDone = await inTurn(async () => {
        await write(fingerprint);
        if (!held.isTrialDue(fingerprint)) return;
        const { trials } = held.get(fingerprint)?.record ?? { trials: 0 };
        await feed.put(fingerprint, { trials: trials + 1, trial });
        // The first of several that were recorded at once counts.
        await readAll();
      });
      return isDone && held.get(fingerprint)?.record.trial === trial;
    },
  };
};
