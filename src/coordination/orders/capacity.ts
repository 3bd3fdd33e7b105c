/** How many engines of a pool may be out of service at once for the sake of a roll-out. */
import { keptShare } from "./constants.ts";

/**
 * @param listed - Engines of the pool, whatever their state.
 * @returns Engines of the pool that have to go on serving; none for a pool of one, which can't be changed
 * otherwise.
 */
export const minServingEngines = (listed: number): number => Math.floor(listed * keptShare);

/**
 * @param serving - Engines of the pool that take work now.
 * @returns Whether one of those may be taken out.
 */
export const mayTakeOut = (listed: number, serving: number): boolean =>
  serving - 1 >= minServingEngines(listed);
