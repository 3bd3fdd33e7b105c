/** Positions of a store without epochs. */
import { unnamedEpoch } from "../../src/protocol/storeEpoch.ts";
import { StorePosition } from "../../src/protocol/StorePosition.ts";

export const positionAt = (offset: number): StorePosition => new StorePosition(unnamedEpoch, offset);
