/**
 * Work that waits for an engine, and the order in which it gets one: interactive before batch, classes by the
 * deadline that is due first, and within a class the organisation that has been served the least for its
 * standing (virtual token counters).
 */
import { scannedPerOrganisation, scannedWaiting, urgentShare } from "./constants.ts";
import type { Work } from "./Scheduler.ts";

/** Something that waits. */
export interface Waiting {
  readonly work: Work;
}

/** Waiting work in order. */
export interface AdmissionQueue<T extends Waiting> {
  readonly add: (waiting: T) => void;
  /** @returns False if it was not waiting. */
  readonly remove: (waiting: T) => boolean;
  readonly size: () => number;
  /** @returns About how many waiting pieces go before a further piece of work, by standing and class. */
  readonly ahead: (work: Work) => number;
  /** The pieces that are next, first ones first; a bounded number. */
  readonly next: (now: number) => readonly T[];
  /** Counts tokens that an organisation is served; negative to give back. */
  readonly charge: (work: Work, tokens: number) => void;
  readonly dump: () => unknown;
}

interface OrganisationQueue<T> {
  /** Tokens served, divided by the standing. */
  served: number;
  readonly waiting: Set<T>;
}

/** Tokens that a piece of work is taken to cost before any has been charged, and how fast that is learned. */
const firstCharge = 500;
const usualChargeGain = 0.05;

type ClassQueue<T> = Map<string, OrganisationQueue<T>>;

/** Makes an empty queue. */
export const createAdmissionQueue = <T extends Waiting>(): AdmissionQueue<T> => {
  const classes = new Map<string, ClassQueue<T>>();
  let usualCharge = firstCharge;
  const sizes = { interactive: 0, batch: 0 };

  const queueOf = ({ context }: Work): OrganisationQueue<T> => {
    const name = context.requestClass.name;
    const ofClass = classes.get(name) ?? new Map<string, OrganisationQueue<T>>();
    classes.set(name, ofClass);
    const known = ofClass.get(context.organisation.name) ?? { served: 0, waiting: new Set<T>() };
    ofClass.set(context.organisation.name, known);
    return known;
  };

  /** The least that any organisation that waits in the class has been served. */
  const leastServed = (work: Work): number => {
    let least = Number.POSITIVE_INFINITY;
    for (const queue of classes.get(work.context.requestClass.name)?.values() ?? []) {
      if (queue.waiting.size > 0) least = Math.min(least, queue.served);
    }
    return least === Number.POSITIVE_INFINITY ? 0 : least;
  };

  const add = (waiting: T): void => {
    const queue = queueOf(waiting.work);
    // Who did not wait saves up no claim on the time in which it did not.
    if (queue.waiting.size === 0) queue.served = Math.max(queue.served, leastServed(waiting.work));
    queue.waiting.add(waiting);
    sizes[waiting.work.context.requestClass.kind] += 1;
  };

  const remove = (waiting: T): boolean => {
    const removed = queueOf(waiting.work).waiting.delete(waiting);
    if (removed) sizes[waiting.work.context.requestClass.kind] -= 1;
    return removed;
  };

  const isUrgent = ({ context }: Work, now: number): boolean => {
    const { kind, firstTokenDeadline } = context.requestClass;
    if (kind === "interactive") return true;
    return context.firstTokenDeadline - now < firstTokenDeadline * urgentShare;
  };

  /** The class's next pieces, in the order in which the organisations' turns come if all cost the same. */
  const nextOfClass = (ofClass: ClassQueue<T>): readonly T[] => {
    const turns: { readonly item: T; readonly at: number }[] = [];
    for (const { waiting, served } of ofClass.values()) {
      let at = served;
      let taken = 0;
      for (const item of waiting) {
        turns.push({ item, at });
        at += usualCharge / item.work.context.organisation.standing;
        taken += 1;
        if (taken === scannedPerOrganisation) break;
      }
    }
    turns.sort((left, right) => left.at - right.at);
    return turns.slice(0, scannedWaiting).map(({ item }) => item);
  };

  /** Waiting pieces of a class that go before one more of an organisation: it gets turns by its standing. */
  const aheadInClass = (ofClass: ClassQueue<T>, { context }: Work): number => {
    const { name, standing } = context.organisation;
    let waiting = 0;
    let turns = 1;
    for (const [organisation, queue] of ofClass) {
      if (queue.waiting.size === 0) continue;
      waiting += queue.waiting.size;
      const [first] = queue.waiting;
      const theirs = first?.work.context.organisation.standing ?? 0;
      if (organisation !== name) turns += theirs / standing;
    }
    const own = ofClass.get(name)?.waiting.size ?? 0;
    return Math.min(waiting, (own + 1) * turns - 1);
  };

  const ahead = (work: Work): number => {
    if (sizes.interactive + sizes.batch === 0) return 0;
    const { name, kind, firstTokenDeadline } = work.context.requestClass;
    let count = 0;
    for (const [other, ofClass] of classes) {
      if (other === name) {
        count += aheadInClass(ofClass, work);
        continue;
      }
      for (const { waiting } of ofClass.values()) {
        const [first] = waiting;
        const theirs = first?.work.context.requestClass;
        if (theirs === undefined) continue;
        const before =
          theirs.kind === kind ? theirs.firstTokenDeadline <= firstTokenDeadline : kind === "batch";
        if (before) count += waiting.size;
      }
    }
    return count;
  };

  const next = (now: number): readonly T[] => {
    if (sizes.interactive + sizes.batch === 0) return [];
    const groups = [...classes.values()].flatMap((ofClass) => {
      const items = nextOfClass(ofClass);
      const deadlines = items.map(({ work }) => work.context.firstTokenDeadline);
      const urgent = items.some(({ work }) => isUrgent(work, now));
      return items.length === 0 ? [] : [{ items, urgent, deadline: Math.min(...deadlines) }];
    });
    groups.sort(
      (left, right) => Number(right.urgent) - Number(left.urgent) || left.deadline - right.deadline,
    );
    return groups.flatMap(({ items }) => items).slice(0, scannedWaiting);
  };

  return {
    add,
    remove,
    size: () => sizes.interactive + sizes.batch,
    ahead,
    next,
    charge: (work, tokens) => {
      if (tokens > 0) usualCharge += (tokens - usualCharge) * usualChargeGain;
      queueOf(work).served += tokens / work.context.organisation.standing;
    },
    dump: () =>
      Object.fromEntries(
        [...classes].map(([name, ofClass]) => [
          name,
          [...ofClass].map(([organisation, { served, waiting }]) => ({
            organisation,
            waiting: waiting.size,
            served: Math.round(served),
          })),
        ]),
      ),
  };
};
