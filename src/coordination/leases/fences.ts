import type { StoreEpoch } from "../../protocol/storeEpoch.ts";

/** More offsets than a log gives out in one epoch. */
const offsetsPerEpoch = 2 ** 32;

/**
 * @param offset - Of the grant that began the tenure.
 * @returns The number that replicas compare. It rises over epochs, whatever offsets the store gives out in each.
 */
export const fenceOf = (epoch: StoreEpoch, offset: number): number => epoch * offsetsPerEpoch + offset;
