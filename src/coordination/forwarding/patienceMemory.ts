/**
 * Tells callers that come back from new ones: what they still have is shorter than what callers of the route have
 * at first. An attempt's id doesn't tell, since each attempt has its own.
 */
import { patienceDecay, returningShare } from "./constants.ts";

/** See {@link createPatienceMemory}. */
export interface PatienceMemory {
  /**
   * Takes a look at a request.
   *
   * @param patience - How long its caller waits, milliseconds; nothing if it didn't say.
   * @returns Whether its caller has waited before.
   */
  readonly hasReturned: (route: string, patience: number | undefined) => boolean;
}

/** Creates a memory of nothing. */
export const createPatienceMemory = (): PatienceMemory => {
  /** By route: the longest patience seen, which fades so that a change of callers' settings is followed. */
  const longest = new Map<string, number>();

  return {
    hasReturned: (route, patience) => {
      if (patience === undefined) return false;
      const known = longest.get(route) ?? patience;
      longest.set(route, Math.max(patience, known - (known - patience) * patienceDecay));
      return patience < known * returningShare;
    },
  };
};
