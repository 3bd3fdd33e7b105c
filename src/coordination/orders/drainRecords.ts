/**
 * Which engines were drained by the system itself. An engine's report only says that it takes no new work;
 * one that leaves for good must not be called back. So each drain is noted in the lease before it is ordered,
 * and the next holder finds it there.
 */
import type { Tenure } from "../leases/types.ts";

/** See {@link createDrainNotes}. */
export interface DrainNotes {
  readonly has: (id: string) => boolean;
  /** @returns True once the note is in the log; without it there must be no drain. */
  readonly add: (id: string) => Promise<boolean>;
  readonly remove: (id: string) => void;
  /** Forgets engines that are not among these. */
  readonly keepOnly: (ids: ReadonlySet<string>) => void;
}

/** Takes up the notes that a tenure begins with. */
export const createDrainNotes = (tenure: Tenure): DrainNotes => {
  const drained = new Set(tenure.note());

  const remove = (id: string): void => {
    if (drained.delete(id)) tenure.setNote([...drained]);
  };

  return {
    has: (id) => drained.has(id),
    add: async (id) => {
      if (drained.has(id)) return true;
      drained.add(id);
      const saved = await tenure.saveNote([...drained]);
      if (!saved) drained.delete(id);
      return saved;
    },
    remove,
    keepOnly: (ids) => [...drained].filter((id) => !ids.has(id)).forEach(remove),
  };
};
