import type { StoreEpoch } from "../../protocol/storeEpoch.ts";

/** More than the offsets that a log assigns in one epoch. */
const offsetsPerEpoch = 2 ** 32;

/**
 * @param offset - The offset of the grant that began the tenure.
 * @returns The fencing number that replicas compare. It rises from epoch to epoch, whatever offsets the store assigns
 *   in each.
 */
export const fenceOf = (epoch: StoreEpoch, offset: number): number => epoch * offsetsPerEpoch + offset;
