/** Limits how many engines of a pool a roll-out may take out of service at the same time. */
import { minServingShare } from "./constants.ts";

/**
 * @param listed - Number of engines in the pool, serving or not.
 * @returns Number of engines of the pool that must keep serving; 0 for a pool of one engine, which could not be
 * changed otherwise.
 */
export const minServingEngines = (listed: number): number => Math.floor(listed * minServingShare);

/**
 * @param listed - Number of engines in the pool, serving or not.
 * @param serving - Number of engines of the pool that currently accept requests.
 * @returns Whether one of the serving engines may be taken out of service.
 */
export const mayTakeOutOfService = (listed: number, serving: number): boolean =>
  serving - 1 >= minServingEngines(listed);
