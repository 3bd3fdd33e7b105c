/**
 * Applies the registry's records to the table of replicas, across changes of the store's epoch.
 *
 * Within an epoch the store's order decides which incarnation of a replica is registered. Start times are not compared:
 * they come from clocks that may step.
 */
import type { FeedPage, FeedRecord, ReplicaEntry } from "../../protocol/forwarding/types.ts";
import type { StorePosition } from "../../protocol/StorePosition.ts";
import { laterPosition } from "../../protocol/StorePosition.ts";
import type { DropReason } from "../../state/forwarding/droppedEntries.ts";
import { createDroppedEntryLog } from "../../state/forwarding/droppedEntries.ts";
import { createRegistryRecords } from "../../state/forwarding/registryRecords.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import { recoveryDuration } from "./constants.ts";
import { applyEach } from "../applyEach.ts";

const writeLog = createLogger("storeEpochs");

/** @returns The position after everything in a whole read, which may contain records beyond its own position. */
export const endOf = ({ records, next }: FeedPage<ReplicaEntry>): StorePosition =>
  records.reduce((end, { position }) => laterPosition(end, position.advancedBy(1)), next);

export interface RegistryRecovery {
  /** Applies a whole read: the newest record of every key. */
  readonly replace: (page: FeedPage<ReplicaEntry>) => void;
  /** Applies changed records. */
  readonly apply: (page: FeedPage<ReplicaEntry>) => void;
  /** Records that everything written before a time is known, milliseconds on the monotonic clock. */
  readonly confirm: (at: number) => void;
  /**
   * @returns The position after the last record that another router must have applied to send requests to the same
   *   replicas; `undefined` before the first read.
   */
  readonly lastChangePosition: () => StorePosition | undefined;
}

/**
 * Creates an empty view of the registry.
 *
 * @param onChange - Called for each changed record that another router must have applied to send requests to the same
 *   replicas.
 */
export const createRegistryRecovery = (
  replicas: ReplicaTable,
  clock: Clock,
  onChange: (record: FeedRecord<ReplicaEntry>) => void = () => undefined,
): RegistryRecovery => {
  const records = createRegistryRecords();
  const logDropped = createDroppedEntryLog();
  let lastChange: StorePosition | undefined;
  /** Names of replicas that are missing in the copy from which the store was restored. */
  const missing = new Set<string>();
  let removeFrom = Number.POSITIVE_INFINITY;
  /** By name: the id of a replaced incarnation that has written one entry since. */
  const returning = new Map<string, string>();

  /**
   * Whether an entry of a replaced incarnation may be a write that the store carried out late, after its answer was
   * lost. Such a write comes alone, while a running replica repeats its entry. A report of draining always counts.
   */
  const isLateWrite = ({ id, registeredAs, isDraining }: ReplicaEntry): boolean => {
    const isRepeated = returning.get(registeredAs) === id;
    returning.delete(registeredAs);
    if (isDraining || isRepeated || replicas.departureOf(id) !== "restarted") return false;
    returning.set(registeredAs, id);
    return true;
  };

  /** Draining holds for its incarnation, whether or not the record is still the newest one. */
  const noteDraining = ({ position, value }: FeedRecord<ReplicaEntry>): void => {
    if (value?.isDraining === true)
      replicas.markDraining(value.id, { source: "registry", detail: position.toString() });
  };

  /** @returns Whether it changes which replicas get work from this router. */
  const applyInOrder = ({ position, key, value }: FeedRecord<ReplicaEntry>): boolean => {
    if (value === undefined) return replicas.remove(key);
    if (!isLateWrite(value)) return replicas.put(value);
    logDropped(value, "late_write", position);
    return false;
  };

  /** @returns Whether it changes which replicas get work, here or at a router that knows only the registry. */
  const applyRecord = (record: FeedRecord<ReplicaEntry>): boolean => {
    noteDraining(record);
    const effect = records.apply(record);
    if (effect === "superseded") return false;
    missing.delete(record.key);
    const changesTable = applyInOrder(record);
    return changesTable || effect === "placement";
  };

  /**
   * @returns Why an entry of a copy does not apply. The copy is older than what this router knows, so it neither brings
   *   back an incarnation nor replaces one that drains; if the replica is running, its next entry does.
   */
  const reasonToDrop = ({ id, registeredAs }: ReplicaEntry): DropReason | undefined => {
    if (replicas.departureOf(id) !== undefined) return "departed";
    const listed = replicas.getByName(registeredAs)?.entry;
    return listed?.isDraining === true && listed.id !== id ? "replaces_draining" : undefined;
  };

  const mergeRecord = (record: FeedRecord<ReplicaEntry>): void => {
    const { position, value } = record;
    records.apply(record);
    noteDraining(record);
    if (value === undefined) return;
    const reason = reasonToDrop(value);
    if (reason === undefined) replicas.put(value);
    else logDropped(value, reason, position);
  };

  const mergeCopy = (page: FeedPage<ReplicaEntry>): void => {
    records.clear();
    returning.clear();
    missing.clear();
    const listed = new Set(page.records.filter(({ value }) => value !== undefined).map(({ key }) => key));
    for (const { entry } of replicas.all()) {
      if (!listed.has(entry.registeredAs)) missing.add(entry.registeredAs);
    }
    applyEach("mergeReplica", page.records, mergeRecord);
    removeFrom = clock.monotonic() + recoveryDuration;
    lastChange = endOf(page);
    writeLog("registry_read", { epoch: page.next.epoch, missing: missing.size });
  };

  const removeMissing = (): void => {
    missing.forEach(replicas.remove);
    writeLog("registry_recovered", { removed: missing.size });
    missing.clear();
    removeFrom = Number.POSITIVE_INFINITY;
  };

  const replaceAll = (page: FeedPage<ReplicaEntry>): void => {
    const removed = records.removeMissing(page);
    removed.forEach(replicas.remove);
    let changes = removed.length;
    applyEach("applyReplica", page.records, (record) => {
      if (applyRecord(record)) changes += 1;
    });
    if (lastChange === undefined) lastChange = endOf(page);
    else if (changes > 0) lastChange = laterPosition(lastChange, endOf(page));
  };

  return {
    replace: (page) => {
      if (lastChange !== undefined && lastChange.epoch !== page.next.epoch) mergeCopy(page);
      else replaceAll(page);
    },
    apply: (page) => {
      applyEach("applyReplica", page.records, (record) => {
        const next = record.position.advancedBy(1);
        if (!applyRecord(record)) return;
        onChange(record);
        if (lastChange?.isBefore(next) === true) lastChange = next;
      });
    },
    confirm: (at) => {
      if (at >= removeFrom) removeMissing();
    },
    lastChangePosition: () => lastChange,
  };
};
