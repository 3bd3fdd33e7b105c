/** How long requests of a class hold an engine's slot, learned from those that ended. */
import { firstHoldingTime, holdingGain } from "./constants.ts";
import type { Work } from "./Scheduler.ts";

/** Holding times by class. */
export interface HoldingTimes {
  /** @returns Milliseconds that a piece of work is expected to hold its slot. */
  readonly of: (work: Work) => number;
  /** @param milliseconds - From dispatch to the end. */
  readonly learn: (work: Work, milliseconds: number) => void;
}

/** Makes holding times that have learned nothing yet. */
export const createHoldingTimes = (): HoldingTimes => {
  const times = new Map<string, number>();
  const of = (work: Work): number => times.get(work.context.requestClass.name) ?? firstHoldingTime;
  return {
    of,
    learn: (work, milliseconds) => {
      const before = of(work);
      times.set(work.context.requestClass.name, before + (milliseconds - before) * holdingGain);
    },
  };
};
