import type { FeedPage, FeedRecord, ReplicaEntry } from "../../protocol/forwarding/types.ts";
import type { StorePosition } from "../../protocol/StorePosition.ts";
import { laterPosition } from "../../protocol/StorePosition.ts";
import { createBoundedMap } from "../boundedMap.ts";

/**
 * What a record changes in the registry.
 *
 * - `superseded`: nothing, since it or a newer record of the name is known.
 * - `details`: fields that don't affect which replicas get work.
 * - `placement`: which replicas get work.
 */
export type RecordEffect = "superseded" | "details" | "placement";

/**
 * What the registry says, by the store's order alone. It is independent of what this router knows of the replicas from
 * elsewhere, so it tells whether a router that knows less has to read a record.
 */
export interface RegistryRecords {
  readonly apply: (record: FeedRecord<ReplicaEntry>) => RecordEffect;
  /** Removes the names that a whole read lacks, unless a record of theirs is newer than the read. @returns The names. */
  readonly removeMissing: (page: FeedPage<ReplicaEntry>) => readonly string[];
  /** Removes everything: positions of the next epoch can't be compared with those of this one. */
  readonly clear: () => void;
}

interface NewestRecord {
  readonly position: StorePosition;
  readonly entry: ReplicaEntry;
}

/** Removed names whose position is kept, so that older records of them are recognised. */
const maxRememberedRemovals = 4_096;

const placesAlike = (left: ReplicaEntry, right: ReplicaEntry): boolean =>
  left.id === right.id &&
  left.isDraining === right.isDraining &&
  left.service === right.service &&
  left.address === right.address;

/** Creates an empty registry. */
export const createRegistryRecords = (): RegistryRecords => {
  const newest = new Map<string, NewestRecord>();
  let removals = createBoundedMap<StorePosition>(maxRememberedRemovals);

  const positionOf = (name: string): StorePosition | undefined =>
    newest.get(name)?.position ?? removals.get(name);

  const remove = (name: string, position: StorePosition): RecordEffect => {
    removals.set(name, position);
    return newest.delete(name) ? "placement" : "details";
  };

  return {
    apply: ({ position, key, value: entry }) => {
      const known = positionOf(key);
      if (known !== undefined && laterPosition(known, position) === known) return "superseded";
      if (entry === undefined) return remove(key, position);
      const before = newest.get(key);
      newest.set(key, { position, entry });
      removals.delete(key);
      return before !== undefined && placesAlike(before.entry, entry) ? "details" : "placement";
    },
    removeMissing: ({ records, next }) => {
      const listed = new Set(records.map(({ key }) => key));
      const missing = [...newest]
        .filter(([name, { position }]) => !listed.has(name) && position.isBefore(next))
        .map(([name]) => name);
      for (const name of missing) newest.delete(name);
      return missing;
    },
    clear: () => {
      newest.clear();
      removals = createBoundedMap<StorePosition>(maxRememberedRemovals);
    },
  };
};
