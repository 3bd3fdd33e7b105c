/**
 * Queue of the work that waits for an engine. Interactive work goes before batch work, classes are ordered by their
 * earliest deadline, and within a class the organisation that has been served the least relative to its standing
 * goes first (fair queueing with virtual token counters).
 */
import { maximumScannedPerOrganisation, maximumScanned, urgentDeadlineShare } from "./constants.ts";
import type { Work } from "./Scheduler.ts";

export interface QueueItem {
  readonly work: Work;
}

/** Waiting work in fair order. */
export interface AdmissionQueue<T extends QueueItem> {
  readonly add: (item: T) => void;
  /** @returns False if the item was not queued. */
  readonly remove: (item: T) => boolean;
  readonly size: () => number;
  /** @returns An estimate of how many queued items go before further work, by standing and class. */
  readonly countAhead: (work: Work) => number;
  /** @returns A bounded number of items, in the order in which they are to be served. */
  readonly next: (now: number) => readonly T[];
  /** Charges tokens to an organisation; negative values are refunds. */
  readonly charge: (work: Work, tokens: number) => void;
  readonly dump: () => unknown;
}

interface OrganisationQueue<T> {
  /** Tokens served, divided by the standing. */
  served: number;
  readonly waiting: Set<T>;
}

/** Assumed cost of an item before any has been charged, tokens. */
const initialCharge = 500;
/** Weight of a new charge in the average cost. */
const averageChargeGain = 0.05;

type ClassQueue<T> = Map<string, OrganisationQueue<T>>;

/** Creates an empty queue. */
export const createAdmissionQueue = <T extends QueueItem>(): AdmissionQueue<T> => {
  const classes = new Map<string, ClassQueue<T>>();
  let averageCharge = initialCharge;
  const sizes = { interactive: 0, batch: 0 };

  const queueOf = ({ context }: Work): OrganisationQueue<T> => {
    const name = context.requestClass.name;
    const classQueue = classes.get(name) ?? new Map<string, OrganisationQueue<T>>();
    classes.set(name, classQueue);
    const organisationQueue = classQueue.get(context.organisation.name) ?? {
      served: 0,
      waiting: new Set<T>(),
    };
    classQueue.set(context.organisation.name, organisationQueue);
    return organisationQueue;
  };

  /** The lowest served count among the organisations with work waiting in the class. */
  const leastServed = (work: Work): number => {
    let least = Number.POSITIVE_INFINITY;
    for (const queue of classes.get(work.context.requestClass.name)?.values() ?? []) {
      if (queue.waiting.size > 0) least = Math.min(least, queue.served);
    }
    return least === Number.POSITIVE_INFINITY ? 0 : least;
  };

  const add = (item: T): void => {
    const queue = queueOf(item.work);
    // An organisation accumulates no credit while it has nothing queued.
    if (queue.waiting.size === 0) queue.served = Math.max(queue.served, leastServed(item.work));
    queue.waiting.add(item);
    sizes[item.work.context.requestClass.kind] += 1;
  };

  const remove = (item: T): boolean => {
    const removed = queueOf(item.work).waiting.delete(item);
    if (removed) sizes[item.work.context.requestClass.kind] -= 1;
    return removed;
  };

  const isUrgent = ({ context }: Work, now: number): boolean => {
    const { kind, firstTokenDeadline } = context.requestClass;
    if (kind === "interactive") return true;
    return context.firstTokenDeadline - now < firstTokenDeadline * urgentDeadlineShare;
  };

  /** The class's next items in order of their virtual time, assuming that each costs the average. */
  const nextOfClass = (classQueue: ClassQueue<T>): readonly T[] => {
    const schedule: { readonly item: T; readonly virtualTime: number }[] = [];
    for (const { waiting, served } of classQueue.values()) {
      let virtualTime = served;
      let scanned = 0;
      for (const item of waiting) {
        schedule.push({ item, virtualTime });
        virtualTime += averageCharge / item.work.context.organisation.standing;
        scanned += 1;
        if (scanned === maximumScannedPerOrganisation) break;
      }
    }
    schedule.sort((left, right) => left.virtualTime - right.virtualTime);
    return schedule.slice(0, maximumScanned).map(({ item }) => item);
  };

  /** Queued items of a class that go before a further one of an organisation, which is served by its standing. */
  const countAheadInClass = (classQueue: ClassQueue<T>, { context }: Work): number => {
    const { name, standing } = context.organisation;
    let waiting = 0;
    let itemsPerRound = 1;
    for (const [organisation, queue] of classQueue) {
      if (queue.waiting.size === 0) continue;
      waiting += queue.waiting.size;
      const [first] = queue.waiting;
      const otherStanding = first?.work.context.organisation.standing ?? 0;
      if (organisation !== name) itemsPerRound += otherStanding / standing;
    }
    const own = classQueue.get(name)?.waiting.size ?? 0;
    return Math.min(waiting, (own + 1) * itemsPerRound - 1);
  };

  const countAhead = (work: Work): number => {
    if (sizes.interactive + sizes.batch === 0) return 0;
    const { name, kind, firstTokenDeadline } = work.context.requestClass;
    let count = 0;
    for (const [otherName, classQueue] of classes) {
      if (otherName === name) {
        count += countAheadInClass(classQueue, work);
        continue;
      }
      for (const { waiting } of classQueue.values()) {
        const [first] = waiting;
        const otherClass = first?.work.context.requestClass;
        if (otherClass === undefined) continue;
        const goesFirst =
          otherClass.kind === kind ? otherClass.firstTokenDeadline <= firstTokenDeadline : kind === "batch";
        if (goesFirst) count += waiting.size;
      }
    }
    return count;
  };

  const next = (now: number): readonly T[] => {
    if (sizes.interactive + sizes.batch === 0) return [];
    const groups = [...classes.values()].flatMap((classQueue) => {
      const items = nextOfClass(classQueue);
      const deadlines = items.map(({ work }) => work.context.firstTokenDeadline);
      const urgent = items.some(({ work }) => isUrgent(work, now));
      return items.length === 0 ? [] : [{ items, urgent, deadline: Math.min(...deadlines) }];
    });
    groups.sort(
      (left, right) => Number(right.urgent) - Number(left.urgent) || left.deadline - right.deadline,
    );
    return groups.flatMap(({ items }) => items).slice(0, maximumScanned);
  };

  return {
    add,
    remove,
    size: () => sizes.interactive + sizes.batch,
    countAhead,
    next,
    charge: (work, tokens) => {
      if (tokens > 0) averageCharge += (tokens - averageCharge) * averageChargeGain;
      queueOf(work).served += tokens / work.context.organisation.standing;
    },
    dump: () =>
      Object.fromEntries(
        [...classes].map(([name, classQueue]) => [
          name,
          [...classQueue].map(([organisation, { served, waiting }]) => ({
            organisation,
            waiting: waiting.size,
            served: Math.round(served),
          })),
        ]),
      ),
  };
};
