/** Positions in a store that reports no epoch. */
import { defaultEpoch } from "../../src/protocol/storeEpoch.ts";
import { StorePosition } from "../../src/protocol/StorePosition.ts";

export const positionAt = (offset: number): StorePosition => new StorePosition(defaultEpoch, offset);
