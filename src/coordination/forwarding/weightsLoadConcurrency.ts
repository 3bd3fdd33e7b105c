/**
 * How many engines load new weights at once: as many as the bound on old weights asks for, more while loads are as
 * fast as ever, and fewer once they slow each other down, since the source of the weights has a limit that nobody
 * tells.
 */
import {
  assumedLoadTime,
  smoothingFactor,
  drainBeforeLoad,
  fewestLoads,
  loadSlowdown,
  rollOutShares,
} from "./constants.ts";
import type { ForwardingBounds } from "./types.ts";

/** See {@link createLoadPace}. */
export interface LoadPace {
  /** @param engines - All that have to be brought over. @returns Loads at once. */
  readonly limit: (engines: number) => number;
  /**
   * An engine has loaded.
   *
   * @param milliseconds - From the order to the end.
   * @param simultaneous - Loads that were under way with it at most, itself included.
   */
  readonly note: (milliseconds: number, simultaneous: number) => void;
}

/** Rounds of loads, all as fast as ever, after which one more at once is tried. */
const roundsBeforeMore = 2;

/** Creates a pace that has seen no load. */
export const createLoadPace = ({ weights }: Pick<ForwardingBounds, "weights">): LoadPace => {
  let fastest = Number.POSITIVE_INFINITY;
  let average = assumedLoadTime;
  /** Loads at once beyond, or short of, those that the bound asks for. */
  let more = 0;
  /** The most that are tried, since more were seen to slow each other down. */
  let bearable = Number.POSITIVE_INFINITY;
  let fastLoads = 0;
  let last = fewestLoads;

  /** Engines that are done within a share of the bound where so many load at once. */
  const within = (engines: number, share: number): number =>
    Math.round((engines * (average + drainBeforeLoad)) / (weights * share));

  const noteSlow = (milliseconds: number, simultaneous: number): void => {
    // Whoever shares a limit takes as much longer as there are too many.
    const sustained = Math.floor((simultaneous * fastest) / milliseconds);
    bearable = Math.max(fewestLoads, Math.min(bearable, sustained));
    more = 0;
    fastLoads = 0;
  };

  const noteFast = (milliseconds: number, simultaneous: number): void => {
    average += (milliseconds - average) * smoothingFactor;
    if (simultaneous < last) return;
    fastLoads += 1;
    if (fastLoads < last * roundsBeforeMore) return;
    fastLoads = 0;
    more += 1;
    bearable += 1;
  };

  return {
    limit: (engines) => {
      const asked = within(engines, rollOutShares.longest) + more;
      last = Math.max(fewestLoads, Math.min(asked, within(engines, rollOutShares.shortest), bearable));
      return last;
    },
    note: (milliseconds, simultaneous) => {
      fastest = Math.min(fastest, milliseconds);
      if (milliseconds > fastest * loadSlowdown) noteSlow(milliseconds, simultaneous);
      else noteFast(milliseconds, simultaneous);
    },
  };
};
