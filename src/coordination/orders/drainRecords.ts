/**
 * Records which engines were drained by the roll-out itself. An engine's report only shows that it accepts no new
 * requests; an engine that is leaving for good must not be admitted again. Therefore each drain is stored in the
 * lease's note before it is ordered, where the next lease holder finds it.
 */
import type { Tenure } from "../leases/types.ts";

/** Engines drained by this lease holder or an earlier one. */
export interface DrainRecords {
  readonly has: (id: string) => boolean;
  /** @returns Whether the record is stored in the log. If it is not, the engine must not be drained. */
  readonly add: (id: string) => Promise<boolean>;
  readonly remove: (id: string) => void;
  /** Removes the records of all other engines. */
  readonly keepOnly: (ids: ReadonlySet<string>) => void;
}

/** Starts with the records that the previous lease holder left. */
export const createDrainRecords = (tenure: Tenure): DrainRecords => {
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
