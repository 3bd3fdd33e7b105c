/** Copies of prompt parts between engines: each link carries them one after another. */
import type { Clock } from "../../src/coordination/clock.ts";

/** One end of copies. */
export interface Link {
  readonly dataCentre: string;
  readonly megabitsPerSecond: number;
  /** When it has carried what waits, simulated milliseconds. */
  freeAt: number;
}

/** A copy that would wait longer is not begun, milliseconds. */
const longestWait = 2_000;

/** Setting a copy up, milliseconds. */
const setup = 3;

/** How much longer a copy between data centres takes. */
const farFactor = 2;

const bitsPerByte = 8;
const bitsPerMegabitMillisecond = 1_000;

/** @returns Milliseconds until the copy has arrived; nothing if it is not begun. */
export const reserveCopy = (clock: Clock, from: Link, to: Link, bytes: number): number | undefined => {
  const now = clock.monotonic();
  const begin = Math.max(now, from.freeAt, to.freeAt);
  if (begin - now > longestWait) return undefined;
  const rate = Math.min(from.megabitsPerSecond, to.megabitsPerSecond) * bitsPerMegabitMillisecond;
  const distance = from.dataCentre === to.dataCentre ? 1 : farFactor;
  const end = begin + setup + ((bytes * bitsPerByte) / rate) * distance;
  from.freeAt = end;
  to.freeAt = end;
  return end - now;
};
