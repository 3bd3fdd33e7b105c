/**
 * The operator's current configuration and wanted weights, and how fresh this router's copy of them is.
 *
 * A read of the store that finds nothing newer proves that the copy was current when the read was sent, or until the
 * store stopped holding it open. The read may be one of this router, or one of a peer that has the same version. Times
 * are milliseconds on this process's monotonic clock.
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
import { applyEach } from "../applyEach.ts";

/** A version of a model's weights that the operator wants engines to run. */
export interface WantedWeights {
  readonly version: number;
  /** When this router learned of it, or the earlier time that a peer has reported. */
  readonly learnedAt: number;
}

/** Versions of one model that may still be running; older ones are dropped. */
const maxVersions = 16;

/** This router's copy of the operator's records, and the proof that it is current. */
export interface ConfigurationState {
  /** @returns The routes of the current configuration; `undefined` before one was read. */
  readonly table: () => RouteTable | undefined;
  /** @returns The newest wanted weights of a model. */
  readonly wantedWeights: (model: string) => WantedWeights | undefined;
  /**
   * Used to date the bound on old weights: the time allowed for the change counts from the first newer version, however
   * soon further ones follow.
   *
   * @returns The oldest wanted weights that are newer than a version.
   */
  readonly supersededBy: (model: string, version: number) => WantedWeights | undefined;
  /** @returns The newest wanted versions of each model, with how long this router has known of each. */
  readonly wantedAges: () => readonly AnnouncedTarget[];
  /**
   * Records for how long a peer has known that a version is wanted: this router may have started later.
   *
   * @param age - Milliseconds.
   */
  readonly noteWantedAge: (model: string, version: number, age: number) => void;
  /** @returns Milliseconds since the copy was last proven current. */
  readonly age: () => number;
  /** @returns When the copy was last proven current; negative infinity if it never was. */
  readonly provenAt: () => number;
  /** Applies records that were read from the store. */
  readonly apply: (page: FeedPage<OperatorRecord>) => void;
  /**
   * Records that a read by this router found nothing newer.
   *
   * @param knownUntil - The time before which nothing newer was written.
   * @param askedAt - When the read was sent; it is the same time unless the store held the read open.
   */
  readonly confirm: (knownUntil: number, askedAt?: number) => void;
  /**
   * Differs from `age` where only this router is cut off from the store: peers still prove that its copy is current.
   *
   * @returns Milliseconds since this router sent its last read that succeeded.
   */
  readonly readAge: () => number;
  /** The same as `confirm` for a read by another router: does not change `readAge`. */
  readonly prove: (at: number) => void;
  /** Records that a peer has proven a version current at that time; ignored for other versions than the one here. */
  readonly confirmVersion: (version: number, at: number) => void;
  /** Records that a peer has a version: reads that do not find it prove nothing. */
  readonly notePeerVersion: (version: number) => void;
  /** @returns The epoch of the store from which the operator's records were last read. */
  readonly epoch: () => StoreEpoch;
  /** @returns The newest known record of each key. */
  readonly newest: () => readonly KnownRecord[];
  /** @returns The version of the newest known record of a key; 0 if there is none. */
  readonly versionOf: (key: string) => number;
}

/** A record that the operator published. */
export interface KnownRecord {
  readonly key: string;
  readonly record: OperatorRecord;
}

/** Wanted versions of each model that are announced to peers: engines may still run older ones. */
const announcedVersions = 3;

const writeLog = createLogger("configuration");

/** @returns The version of a record; comparable between records of one key. */
export const versionOfRecord = (record: OperatorRecord): number =>
  record.kind === "configuration" ? record.configuration.version : record.target.version;

/**
 * Creates a state that has no configuration yet.
 *
 * @param recovery - Decides which reads count as proof while the store recovers from a return to an older copy.
 */
export const createConfigurationState = (
  clock: Clock,
  recovery: Pick<RecoveryWindow, "allowsProof"> = noRecovery,
): ConfigurationState => {
  /** By model, in ascending order of versions. */
  const wanted = new Map<string, readonly WantedWeights[]>();
  let table: RouteTable | undefined;
  const newest = new Map<string, OperatorRecord>();
  let provenAt = Number.NEGATIVE_INFINITY;
  /** The newest proof outside the recovery window of the store. */
  let provenOutsideRecovery = Number.NEGATIVE_INFINITY;
  let epoch: StoreEpoch = defaultEpoch;
  let newestOfPeers = Number.NEGATIVE_INFINITY;
  let readAt = Number.NEGATIVE_INFINITY;

  const applyRecord = (record: OperatorRecord): void => {
    if (record.kind === "configuration") {
      const { configuration } = record;
      // Versions never decrease, whatever a response that arrives late contains.
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
    wanted.set(model, [...versions, learned].slice(-maxVersions));
    writeLog("weights_wanted", { model, version });
  };

  const keepNewest = (key: string, record: OperatorRecord): void => {
    const known = newest.get(key);
    if (known === undefined || versionOfRecord(record) > versionOfRecord(known)) newest.set(key, record);
  };

  const prove = (at: number): void => {
    if (newestOfPeers > (table?.configuration.version ?? Number.NEGATIVE_INFINITY)) return;
    if (recovery.allowsProof(at)) provenOutsideRecovery = Math.max(provenOutsideRecovery, at);
    provenAt = Math.max(provenAt, at);
  };

  const validProof = (): number =>
    [provenAt, provenOutsideRecovery].find(recovery.allowsProof) ?? Number.NEGATIVE_INFINITY;

  return {
    table: () => table,
    wantedWeights: (model) => wanted.get(model)?.at(-1),
    supersededBy: (model, version) => wanted.get(model)?.find((each) => each.version > version),
    wantedAges: () =>
      [...wanted].flatMap(([model, versions]) =>
        versions.slice(-announcedVersions).map(({ version, learnedAt }) => ({
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
      applyEach("applyOperatorRecord", records, ({ key, value }) => {
        if (value === undefined) return;
        applyRecord(value);
        keepNewest(key, value);
      });
    },
    confirm: (knownUntil, askedAt = knownUntil) => {
      readAt = Math.max(readAt, askedAt);
      prove(knownUntil);
    },
    prove,
    readAge: () => clock.monotonic() - readAt,
    confirmVersion: (version, at) => {
      if (version === table?.configuration.version) prove(at);
    },
    notePeerVersion: (version) => {
      newestOfPeers = Math.max(newestOfPeers, version);
      const isBehind = newestOfPeers > (table?.configuration.version ?? Number.NEGATIVE_INFINITY);
      // Drops a proof that the recovery window only suspends: this router's read missed records that a peer has.
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
