/**
 * Adaptive limit on the number of engines that load new weights at the same time: as many as the bound on old weights
 * requires, more while loads stay fast, and fewer once they slow each other down, since the capacity of the source of
 * the weights is not known.
 */
import {
  assumedLoadTime,
  smoothingFactor,
  drainTimeBeforeLoad,
  minSimultaneousLoads,
  slowLoadFactor,
  rollOutTimeShares,
} from "./constants.ts";
import type { ForwardingBounds } from "./types.ts";

export interface WeightsLoadConcurrency {
  /**
   * @param engines - Number of engines that take part in a roll-out.
   * @returns Maximum number of simultaneous loads.
   */
  readonly limit: (engines: number) => number;
  /**
   * Records a finished load.
   *
   * @param milliseconds - Time from the order to the end of the load.
   * @param simultaneous - Highest number of loads that ran at the same time, this one included.
   */
  readonly noteLoad: (milliseconds: number, simultaneous: number) => void;
}

/** Rounds of loads without a slow one after which the limit is raised by one. */
const roundsBeforeIncrease = 2;

/** Creates a limit that assumes {@link assumedLoadTime} until loads are recorded. */
export const createWeightsLoadConcurrency = ({
  weights,
}: Pick<ForwardingBounds, "weights">): WeightsLoadConcurrency => {
  let fastestTime = Number.POSITIVE_INFINITY;
  let averageTime = assumedLoadTime;
  /** Simultaneous loads tried in addition to those that the bound requires. */
  let extraLoads = 0;
  /** Upper limit after a slowdown: more loads than this were observed to slow each other down. */
  let sustainableLoads = Number.POSITIVE_INFINITY;
  let consecutiveFastLoads = 0;
  let lastLimit = minSimultaneousLoads;

  /** @returns Simultaneous loads with which all engines are done within a share of the bound. */
  const loadsToFinishWithin = (engines: number, share: number): number =>
    Math.round((engines * (averageTime + drainTimeBeforeLoad)) / (weights * share));

  const noteSlow = (milliseconds: number, simultaneous: number): void => {
    // Loads that share a bandwidth limit slow down in proportion to their number beyond it.
    const sustained = Math.floor((simultaneous * fastestTime) / milliseconds);
    sustainableLoads = Math.max(minSimultaneousLoads, Math.min(sustainableLoads, sustained));
    extraLoads = 0;
    consecutiveFastLoads = 0;
  };

  const noteFast = (milliseconds: number, simultaneous: number): void => {
    averageTime += (milliseconds - averageTime) * smoothingFactor;
    if (simultaneous < lastLimit) return;
    consecutiveFastLoads += 1;
    if (consecutiveFastLoads < lastLimit * roundsBeforeIncrease) return;
    consecutiveFastLoads = 0;
    extraLoads += 1;
    sustainableLoads += 1;
  };

  return {
    limit: (engines) => {
      const required = loadsToFinishWithin(engines, rollOutTimeShares.longest) + extraLoads;
      lastLimit = Math.max(
        minSimultaneousLoads,
        Math.min(required, loadsToFinishWithin(engines, rollOutTimeShares.shortest), sustainableLoads),
      );
      return lastLimit;
    },
    noteLoad: (milliseconds, simultaneous) => {
      fastestTime = Math.min(fastestTime, milliseconds);
      if (milliseconds > fastestTime * slowLoadFactor) noteSlow(milliseconds, simultaneous);
      else noteFast(milliseconds, simultaneous);
    },
  };
};
