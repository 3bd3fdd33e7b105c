/** Learns from finished requests how long those of each class hold an engine slot. */
import { initialSlotHoldingTime, slotHoldingGain } from "./constants.ts";
import type { Work } from "./Scheduler.ts";

/** Slot holding times by request class. */
export interface SlotHoldingTimes {
  /** @returns How long the work is expected to hold its slot, milliseconds. */
  readonly of: (work: Work) => number;
  /** @param milliseconds - Time from dispatch to the end of the request. */
  readonly learn: (work: Work, milliseconds: number) => void;
}

export const createSlotHoldingTimes = (): SlotHoldingTimes => {
  const times = new Map<string, number>();
  const of = (work: Work): number => times.get(work.context.requestClass.name) ?? initialSlotHoldingTime;
  return {
    of,
    learn: (work, milliseconds) => {
      const before = of(work);
      times.set(work.context.requestClass.name, before + (milliseconds - before) * slotHoldingGain);
    },
  };
};
