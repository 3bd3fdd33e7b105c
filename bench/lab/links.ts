/** Copies of prompt parts between engines and the store; each link carries one copy at a time. */
import type { Clock } from "../../src/coordination/clock.ts";

/** The network link of an engine or the store. */
export interface Link {
  readonly dataCentre: string;
  readonly megabitsPerSecond: number;
  /** When the last reserved copy ends, simulated milliseconds. */
  freeAt: number;
}

/** A copy that would wait longer than this is not started, milliseconds. */
const maximumWait = 2_000;

/** Time to set up a copy, milliseconds. */
const setupTime = 3;

/** A copy between data centres takes this many times as long as one within a data centre. */
const crossDataCentreFactor = 2;

const bitsPerByte = 8;
const bitsPerMegabitMillisecond = 1_000;

/**
 * Reserves both links for a copy.
 *
 * @returns Time until the copy has arrived, milliseconds; `undefined` if it would wait too long and is not started.
 */
export const reserveCopy = (clock: Clock, from: Link, to: Link, bytes: number): number | undefined => {
  const now = clock.monotonic();
  const startsAt = Math.max(now, from.freeAt, to.freeAt);
  if (startsAt - now > maximumWait) return undefined;
  const rate = Math.min(from.megabitsPerSecond, to.megabitsPerSecond) * bitsPerMegabitMillisecond;
  const factor = from.dataCentre === to.dataCentre ? 1 : crossDataCentreFactor;
  const endsAt = startsAt + setupTime + ((bytes * bitsPerByte) / rate) * factor;
  from.freeAt = endsAt;
  to.freeAt = endsAt;
  return endsAt - now;
};
