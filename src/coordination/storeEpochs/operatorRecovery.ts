/**
 * Keeps what the operator published where the store has lost it: routers that know it write copies into a topic of
 * their own, for peers that had not read it and for routers that start before the operator has written it again.
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
  copyWriters,
  recoveryTime,
} from "./constants.ts";

/** See {@link createOperatorRecovery}. */
export interface OperatorRecoveryDependencies {
  readonly self: string;
  /** The topic of copies. */
  readonly copies: RecordFeed<OperatorRecord>;
  readonly configuration: Pick<ConfigurationState, "apply" | "newest" | "versionOf">;
  /** @returns Names of live routers, this one included. */
  readonly live: () => readonly string[];
  readonly clock: Clock;
  /** A number from 0 to 1. */
  readonly random: () => number;
  /** Records were read from copies. */
  readonly onRecovered: () => void;
}

/** Works until it is disposed of. */
export interface OperatorRecovery extends AsyncDisposable {
  /** Takes the newest records that the store has. */
  readonly noteNewest: (page: FeedPage<OperatorRecord>) => void;
  /** Takes records that the store has taken. */
  readonly noteStored: (page: FeedPage<OperatorRecord>) => void;
  /** A peer knows something newer than this router. */
  readonly readCopies: () => void;
}

const writeLog = createLogger("storeEpochs");

/** Creates recovery for one router. */
export const createOperatorRecovery = (dependencies: OperatorRecoveryDependencies): OperatorRecovery => {
  const { copies, configuration, clock, random } = dependencies;
  const stop = new AbortController();
  /** By key, in the epoch of the last whole read. */
  const stored = new Map<string, number>();
  let epoch: StoreEpoch | undefined;
  let copying = Promise.resolve();
  let isReading = false;
  let readAt = Number.NEGATIVE_INFINITY;

  const noteStored = ({ records }: FeedPage<OperatorRecord>): void => {
    for (const { key, value } of records) {
      if (value !== undefined) stored.set(key, Math.max(stored.get(key) ?? 0, versionOfRecord(value)));
    }
  };

  /** @returns Keys whose newest known record neither the store nor the topic of copies has. */
  const lostKeys = (copied: ReadonlyMap<string, number>): readonly string[] =>
    configuration
      .newest()
      .map(({ key }) => key)
      .filter((key) => {
        const known = configuration.versionOf(key);
        return known > (stored.get(key) ?? 0) && known > (copied.get(key) ?? 0);
      });

  const readNow = async (): Promise<ReadonlyMap<string, number>> => {
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
    const keys = lostKeys(await readNow());
    for (const { key, record } of configuration.newest()) {
      if (!keys.includes(key)) continue;
      await copies.put(key, record);
      writeLog("copied", { key, version: versionOfRecord(record) });
    }
  };

  /** Few routers write first, so that the others find the copies there. */
  const writeDelay = (): number => {
    const rank = rendezvousOrder("copies", dependencies.live()).indexOf(dependencies.self);
    if (rank >= 0 && rank < copyWriters) return rank * copyWriteInterval;
    return copyWriters * copyWriteInterval + random() * recoveryTime;
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
    await readNow().catch((error: unknown) => writeLog("copies_unread", { reason: String(error) }));
    isReading = false;
  };

  return {
    noteStored,
    noteNewest: (page) => {
      const isNew = epoch !== undefined && epoch !== page.next.epoch;
      if (epoch !== page.next.epoch) stored.clear();
      epoch = page.next.epoch;
      noteStored(page);
      if (!isNew) return;
      const lost = lostKeys(new Map()).length;
      writeLog("operator_read", { epoch, lost });
      if (lost > 0) copying = copying.then(() => copyLost(page.next.epoch));
    },
    readCopies: () => void readCopies(),
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await copying;
    },
  };
};
