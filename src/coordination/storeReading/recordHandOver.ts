/**
 * The latest relevant records of one topic, which a router that reads the store hands over to routers that ask it, so
 * that they need not read the store for each change.
 */
import type { FeedPage, FeedRecord } from "../../protocol/forwarding/types.ts";
import type { StorePosition } from "../../protocol/StorePosition.ts";
import { maxHandedRecords, maxKeptRecords } from "./constants.ts";

export interface RecordHandOverDependencies<T> {
  /** @returns The position up to which this router's own reads know all records. */
  readonly position: () => StorePosition | undefined;
  /** Whether a record fits into a datagram. */
  readonly isSmall: (record: FeedRecord<T>) => boolean;
  /** Applies records that another router has read. */
  readonly apply: (page: FeedPage<T>) => void;
}

/** Records to hand over, and the position that records of other routers have brought this router to. */
export interface RecordHandOver<T> {
  /** Starts anew after a whole read: the records before its position are not known one by one. */
  readonly restart: (position: StorePosition) => void;
  /** Keeps a relevant record; one before the last kept record is ignored as repeated. */
  readonly keep: (record: FeedRecord<T>) => void;
  /**
   * @param to - The position up to which this router knows all relevant records.
   * @returns All relevant records from a position up to `to`; `undefined` if they are not all kept, or too large.
   */
  readonly between: (from: StorePosition, to: StorePosition) => readonly FeedRecord<T>[] | undefined;
  /** Applies another router's answer to a query that this router sent while it knew the records up to `from`. */
  readonly receive: (from: StorePosition, to: StorePosition, records: readonly FeedRecord<T>[]) => void;
  /** @returns The position up to which all relevant records are known, whichever router has read them. */
  readonly known: () => StorePosition | undefined;
}

/** Creates an empty hand-over: nothing is handed over before the first whole read. */
export const createRecordHandOver = <T>(dependencies: RecordHandOverDependencies<T>): RecordHandOver<T> => {
  let kept: FeedRecord<T>[] = [];
  let keptFrom: StorePosition | undefined;
  let received: StorePosition | undefined;

  /** Whether both positions are in the same epoch and in order. */
  const isReached = (to: StorePosition | undefined, from: StorePosition | undefined): boolean =>
    from !== undefined && to?.epoch === from.epoch && !to.isBefore(from);

  const known = (): StorePosition | undefined => {
    const own = dependencies.position();
    return isReached(received, own) ? received : own;
  };

  return {
    known,
    restart: (position) => {
      kept = [];
      keptFrom = position;
      received = undefined;
    },
    keep: (record) => {
      const next = kept.at(-1)?.position.advancedBy(1) ?? keptFrom;
      if (!isReached(record.position, next)) return;
      kept.push(record);
      if (kept.length > maxKeptRecords) keptFrom = kept.shift()?.position.advancedBy(1);
    },
    between: (from, to) => {
      if (from.epoch !== to.epoch || !isReached(from, keptFrom)) return undefined;
      const records = kept.filter(({ position }) => !position.isBefore(from) && position.isBefore(to));
      return records.length <= maxHandedRecords && records.every(dependencies.isSmall) ? records : undefined;
    },
    receive: (from, to, records) => {
      // In another epoch than the query the records say nothing about what this router lacks.
      if (!isReached(known(), from) || !isReached(to, known())) return;
      dependencies.apply({ records, next: to, isComplete: true });
      received = to;
    },
  };
};
