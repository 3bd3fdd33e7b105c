/**
 * Recovers operator records that the store has lost: routers that know them write copies to a separate feed, for peers
 * that had not read them, and for routers that start before the operator has written them again.
 */
import type { RecordFeed } from "../../protocol/forwarding/RecordFeed.ts";
import type { FeedPage, OperatorRecord } from "../../protocol/forwarding/types.ts";
import type { StoreEpoch } from "../../protocol/storeEpoch.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import { pause } from "../clock.ts";
import type { ConfigurationState } from "../forwarding/configurationState.ts";
import { versionOfRecord } from "../forwarding/configurationState.ts";
import { rendezvousOrder } from "../membership/rendezvous.ts";
import {
  copyReadInterval,
  copyRetryInterval,
  copyWriteInterval,
  firstCopyWriters,
  recoveryDuration,
} from "./constants.ts";
import { runInBackground } from "../../state/backgroundTasks.ts";

export interface OperatorRecoveryDependencies {
  readonly self: string;
  /** The feed of copies. */
  readonly copies: RecordFeed<OperatorRecord>;
  readonly configuration: Pick<ConfigurationState, "apply" | "newest" | "versionOf">;
  /** @returns The names of live routers, including this one. */
  readonly live: () => readonly string[];
  readonly clock: Clock;
  /** @returns A number from 0 to 1. */
  readonly random: () => number;
  /** Called after records have been read from copies. */
  readonly onRecovered: () => void;
}

/** Recovery of one router, active until it is disposed of. */
export interface OperatorRecovery extends AsyncDisposable {
  /** Notes the records of a whole read of the store, and copies those that it lost if its epoch is new. */
  readonly noteNewest: (page: FeedPage<OperatorRecord>) => void;
  /** Notes further records that the store has. */
  readonly noteStored: (page: FeedPage<OperatorRecord>) => void;
  /** Reads the copies, because a peer knows a newer record than this router. */
  readonly readCopies: () => void;
}

const writeLog = createLogger("storeEpochs");

/** Creates the recovery of one router. */
export const createOperatorRecovery = (dependencies: OperatorRecoveryDependencies): OperatorRecovery => {
  const { copies, configuration, clock, random } = dependencies;
  const stop = new AbortController();
  /** Newest version by key that the store has in the epoch of the last whole read. */
  const storedVersions = new Map<string, number>();
  let epoch: StoreEpoch | undefined;
  let copying = Promise.resolve();
  let isReading = false;
  let readAt = Number.NEGATIVE_INFINITY;

  const noteStored = ({ records }: FeedPage<OperatorRecord>): void => {
    for (const { key, value } of records) {
      if (value !== undefined)
        storedVersions.set(key, Math.max(storedVersions.get(key) ?? 0, versionOfRecord(value)));
    }
  };

  /** @returns Keys whose newest known record is neither in the store nor in the topic of copies. */
  const lostKeys = (copiedVersions: ReadonlyMap<string, number>): readonly string[] =>
    configuration
      .newest()
      .map(({ key }) => key)
      .filter((key) => {
        const known = configuration.versionOf(key);
        return known > (storedVersions.get(key) ?? 0) && known > (copiedVersions.get(key) ?? 0);
      });

  const readAndApply = async (): Promise<ReadonlyMap<string, number>> => {
    readAt = clock.monotonic();
    const page = await copies.newest();
    configuration.apply(page);
    dependencies.onRecovered();
    return new Map(
      page.records.flatMap(({ key, value }) =>
        value === undefined ? [] : [[key, versionOfRecord(value)] as const],
      ),
    );
  };

  const copyOnce = async (): Promise<void> => {
    const keys = lostKeys(await readAndApply());
    for (const { key, record } of configuration.newest()) {
      if (!keys.includes(key)) continue;
      await copies.put(key, record);
      writeLog("copied", { key, version: versionOfRecord(record) });
    }
  };

  /** Lets few routers write first, so that the others find the copies already written. */
  const writeDelay = (): number => {
    const rank = rendezvousOrder("copies", dependencies.live()).indexOf(dependencies.self);
    if (rank >= 0 && rank < firstCopyWriters) return rank * copyWriteInterval;
    return firstCopyWriters * copyWriteInterval + random() * recoveryDuration;
  };

  const copyLost = async (of: StoreEpoch): Promise<void> => {
    await pause(clock, writeDelay(), stop.signal);
    while (!stop.signal.aborted && epoch === of && lostKeys(new Map()).length > 0) {
      try {
        await copyOnce();
        return;
      } catch (error) {
        writeLog("copy_failed", { reason: String(error) });
        await pause(clock, copyRetryInterval, stop.signal);
      }
    }
  };

  const readCopies = async (): Promise<void> => {
    if (isReading || clock.monotonic() - readAt < copyReadInterval) return;
    isReading = true;
    await readAndApply().catch((error: unknown) => writeLog("copies_unread", { reason: String(error) }));
    isReading = false;
  };

  return {
    noteStored,
    noteNewest: (page) => {
      const isNew = epoch !== undefined && epoch !== page.next.epoch;
      if (epoch !== page.next.epoch) storedVersions.clear();
      epoch = page.next.epoch;
      noteStored(page);
      if (!isNew) return;
      const lost = lostKeys(new Map()).length;
      writeLog("operator_read", { epoch, lost });
      if (lost > 0) copying = copying.then(() => copyLost(page.next.epoch));
    },
    readCopies: () => runInBackground("readOperatorCopies", readCopies),
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await copying;
    },
  };
};
