/**
 * The configuration in force and the weights wanted, as the operator published them, and how fresh that is.
 *
 * Freshness is proved by reads that were sent at a moment and found nothing newer, by this router or, for the
 * same version, by a peer. It is counted on this process's monotonic clock.
 */
import type { AnnouncedTarget } from "../../protocol/forwarding/peerMessage.ts";
import type { OperatorRecord, FeedPage } from "../../protocol/forwarding/types.ts";
import type { StoreEpoch } from "../../protocol/storeEpoch.ts";
import { defaultEpoch } from "../../protocol/storeEpoch.ts";
import { createLogger } from "../../state/log.ts";
import { createRouteTable } from "../../state/forwarding/routeTable.ts";
import type { RouteTable } from "../../state/forwarding/routeTable.ts";
import type { Clock } from "../clock.ts";
import type { RecoveryWindow } from "../storeEpochs/recoveryWindow.ts";
import { noRecovery } from "../storeEpochs/recoveryWindow.ts";

/** Weights that the operator wants of a model. */
export interface WantedWeights {
  readonly version: number;
  /** When this router learned of it, milliseconds on the monotonic clock. */
  readonly learnedAt: number;
}

/** Versions of one model that may still be running; older ones are forgotten. */
const mostVersions = 16;

/** See {@link createConfigurationState}. */
export interface ConfigurationState {
  readonly table: () => RouteTable | undefined;
  /** @returns The newest weights wanted of a model. */
  readonly wantedWeights: (model: string) => WantedWeights | undefined;
  /**
   * Each version has a time of its own, however soon the next one was named.
   *
   * @returns The first weights wanted that are newer than a version.
   */
  readonly supersededBy: (model: string, version: number) => WantedWeights | undefined;
  /** @returns The newest weights wanted, with how long this router has known of them. */
  readonly wantedAges: () => readonly AnnouncedTarget[];
  /** A peer has known for some time that a version is wanted; this router may have started since. */
  readonly noteWantedAge: (model: string, version: number, age: number) => void;
  /** Milliseconds since a moment at which nothing newer had been published. */
  readonly age: () => number;
  /** When nothing newer had been published, milliseconds on the monotonic clock. */
  readonly provenAt: () => number;
  readonly apply: (page: FeedPage<OperatorRecord>) => void;
  /** A read of this router's own that was sent at a moment found nothing newer. */
  readonly confirm: (at: number) => void;
  /** Milliseconds since such a read was sent: a router that is cut off from the store alone lives on peers' proofs. */
  readonly readAge: () => number;
  /** Nothing newer than what is known had been published at a moment, as another router has proved. */
  readonly prove: (at: number) => void;
  /** A peer had proof of this version at a moment. */
  readonly confirmVersion: (version: number, at: number) => void;
  /** A peer has this version: reads that don't find it prove nothing. */
  readonly notePeerVersion: (version: number) => void;
  /** @returns The epoch of the store in which the operator's records were last read. */
  readonly epoch: () => StoreEpoch;
  /** @returns The newest record known of each key. */
  readonly newest: () => readonly KnownRecord[];
  /** @returns The version of the newest record known of a key; 0 if there is none. */
  readonly versionOf: (key: string) => number;
}

/** A record that the operator published. */
export interface KnownRecord {
  readonly key: string;
  readonly record: OperatorRecord;
}

/** Versions that peers are told of: those that engines may still be behind. */
const toldVersions = 3;

const writeLog = createLogger("configuration");

/** @returns The version of a record; versions of one key can be compared. */
export const versionOfRecord = (record: OperatorRecord): number =>
  record.kind === "configuration" ? record.configuration.version : record.target.version;

/**
 * Creates a state without a configuration.
 *
 * @param recovery - Says which reads prove something.
 */
export const createConfigurationState = (
  clock: Clock,
  recovery: Pick<RecoveryWindow, "allowsProof"> = noRecovery,
): ConfigurationState => {
  /** By model, in rising order. */
  const wanted = new Map<string, readonly WantedWeights[]>();
  let table: RouteTable | undefined;
  const newest = new Map<string, OperatorRecord>();
  let provenAt = Number.NEGATIVE_INFINITY;
  /** The newest proof from before the store's last return. */
  let provenBefore = Number.NEGATIVE_INFINITY;
  let epoch: StoreEpoch = defaultEpoch;
  let newestOfPeers = Number.NEGATIVE_INFINITY;
  let readAt = Number.NEGATIVE_INFINITY;

  const takeRecord = (record: OperatorRecord): void => {
    if (record.kind === "configuration") {
      const { configuration } = record;
      // Versions never step back, whatever an answer that came late says.
      if (table !== undefined && configuration.version <= table.configuration.version) return;
      table = createRouteTable(configuration);
      const { version, routes, services } = configuration;
      writeLog("applied", { version, routes: routes.length, services: services.length });
      return;
    }
    const { model, version } = record.target;
    const versions = wanted.get(model) ?? [];
    if (version <= (versions.at(-1)?.version ?? 0)) return;
    const learned = { version, learnedAt: clock.monotonic() };
    wanted.set(model, [...versions, learned].slice(-mostVersions));
    writeLog("weights_wanted", { model, version });
  };

  const keepNewest = (key: string, record: OperatorRecord): void => {
    const known = newest.get(key);
    if (known === undefined || versionOfRecord(record) > versionOfRecord(known)) newest.set(key, record);
  };

  const prove = (at: number): void => {
    if (newestOfPeers > (table?.configuration.version ?? Number.NEGATIVE_INFINITY)) return;
    if (recovery.allowsProof(at)) provenBefore = Math.max(provenBefore, at);
    provenAt = Math.max(provenAt, at);
  };

  const validProof = (): number =>
    [provenAt, provenBefore].find(recovery.allowsProof) ?? Number.NEGATIVE_INFINITY;

  return {
    table: () => table,
    wantedWeights: (model) => wanted.get(model)?.at(-1),
    supersededBy: (model, version) => wanted.get(model)?.find((each) => each.version > version),
    wantedAges: () =>
      [...wanted].flatMap(([model, versions]) =>
        versions.slice(-toldVersions).map(({ version, learnedAt }) => ({
          model,
          version,
          age: Math.max(0, Math.round(clock.monotonic() - learnedAt)),
        })),
      ),
    noteWantedAge: (model, version, age) => {
      const learnedAt = clock.monotonic() - age;
      const versions = wanted.get(model)?.map((each) => {
        const isEarlier = each.version === version && learnedAt < each.learnedAt;
        return isEarlier ? { version, learnedAt } : each;
      });
      if (versions !== undefined) wanted.set(model, versions);
    },
    age: () => clock.monotonic() - validProof(),
    provenAt: validProof,
    apply: ({ records, next }) => {
      epoch = next.epoch;
      for (const { key, value } of records) {
        if (value === undefined) continue;
        takeRecord(value);
        keepNewest(key, value);
      }
    },
    confirm: (at) => {
      readAt = Math.max(readAt, at);
      prove(at);
    },
    prove,
    readAge: () => clock.monotonic() - readAt,
    confirmVersion: (version, at) => {
      if (version === table?.configuration.version) prove(at);
    },
    notePeerVersion: (version) => {
      newestOfPeers = Math.max(newestOfPeers, version);
      const isBehind = newestOfPeers > (table?.configuration.version ?? Number.NEGATIVE_INFINITY);
      // A router that starts has read a store that lacks what its peers have in force.
      if (isBehind && !Number.isFinite(validProof())) provenAt = Number.NEGATIVE_INFINITY;
    },
    epoch: () => epoch,
    newest: () => [...newest].map(([key, record]) => ({ key, record })),
    versionOf: (key) => {
      const record = newest.get(key);
      return record === undefined ? 0 : versionOfRecord(record);
    },
  };
};
