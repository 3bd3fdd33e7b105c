/** The count of one organisation's use: fills at the rate of its limit, up to its burst. */
import type { OrganisationLimit } from "../../protocol/forwarding/types.ts";
import type { Clock } from "../clock.ts";

/** See {@link createUsageBucket}. */
export interface UsageBucket {
  /** @returns Milliseconds until there is room; nothing if the amount was taken. */
  readonly take: (amount: number, limit: OrganisationLimit) => number | undefined;
  /** Counts what was passed on unasked, or with a negative amount what has not run. */
  readonly charge: (amount: number, limit: OrganisationLimit) => void;
  /** @returns How much of the burst is left, in hundredths. */
  readonly room: (limit: OrganisationLimit) => number;
}

const millisecondsPerSecond = 1_000;

const hundredths = 100;

/**
 * Creates an empty bucket: whoever kept the count before may have granted a whole burst just now, so that only what
 * comes in from now on may be granted.
 */
export const createUsageBucket = (clock: Clock): UsageBucket => {
  let level = 0;
  let filledAt = clock.monotonic();

  const fill = ({ ratePerSecond, burst }: OrganisationLimit): void => {
    const now = clock.monotonic();
    level = Math.min(burst, level + ((now - filledAt) / millisecondsPerSecond) * ratePerSecond);
    filledAt = now;
  };

  return {
    take: (amount, limit) => {
      fill(limit);
      // A request larger than the whole burst would never be let in: it leaves a debt.
      const wanted = Math.min(amount, limit.burst);
      if (level < wanted) return ((wanted - level) / limit.ratePerSecond) * millisecondsPerSecond;
      level -= amount;
      return undefined;
    },
    charge: (amount, limit) => {
      fill(limit);
      level = Math.min(limit.burst, Math.max(-limit.burst, level - amount));
    },
    room: (limit) => {
      fill(limit);
      return Math.max(0, Math.floor((level / limit.burst) * hundredths));
    },
  };
};
