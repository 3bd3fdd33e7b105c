/**
 * A monotonic time in milliseconds that includes the time for which the VM was suspended. Leases, deadlines and the age
 * of cached state are compared by it. Timers run on the runtime's clock, so they may fire late after a suspension.
 *
 * The monotonic clock of the runtime stops during a suspension, so expired leases, proofs and grants would look valid.
 * Two other clocks continue: the time of day, which may also be set, and the clock since boot, which some machines
 * report incorrectly. Each call compares the time of day with the monotonic clock. If it jumps ahead, the clock since
 * boot decides whether the VM was suspended, provided that it has recently advanced at the rate of the monotonic clock.
 * Otherwise the jump counts as elapsed time: cached state may then look older than it is, never younger, and the next
 * read of the store confirms it.
 */
import { uptime } from "node:os";
import { createLogger } from "./log.ts";

/** The clocks of a machine, in milliseconds. */
export interface ClockSources {
  /** Never goes back; stops while the VM is suspended. */
  readonly monotonic: () => number;
  /** The time of day. */
  readonly wall: () => number;
  /** Time since the machine's start, including suspensions; coarse, and too expensive to read at each call. */
  readonly sinceBoot: () => number;
}

/** Smaller differences, in milliseconds, are drift of the clocks. */
const minClockJump = 250;

/** Milliseconds between two checks of the clock since boot against the monotonic clock. */
const bootClockCheckInterval = 500;

/** Deviation between two checks, in milliseconds, that the clock's resolution and process scheduling explain. */
const bootClockTolerance = 40;

/** Milliseconds for which the clock since boot is not relied on after a larger deviation. */
const bootClockDistrustTime = 10_000;

/** Clocks that were read further apart than this, in milliseconds, are not compared. */
const maxReadDuration = 5;

const millisecondsPerSecond = 1_000;

const writeLog = createLogger("clock");

/** Compares the clock since boot with the monotonic clock. */
const createBootClockMonitor = ({ monotonic, sinceBoot }: ClockSources) => {
  let lastOffset = sinceBoot() - monotonic();
  let checkedAt = monotonic();
  let deviatedAt = Number.NEGATIVE_INFINITY;
  /** Whether it has agreed with the monotonic clock at least once. */
  let hasAgreed = false;

  /** @returns By how much it moved ahead since the last check; `undefined` if the clocks were read too far apart. */
  const advance = (): number | undefined => {
    const now = monotonic();
    const currentOffset = sinceBoot() - now;
    if (monotonic() - now > maxReadDuration) return undefined;
    const change = currentOffset - lastOffset;
    lastOffset = currentOffset;
    checkedAt = now;
    if (Math.abs(change) <= bootClockTolerance) hasAgreed = true;
    return change;
  };

  return {
    isDue: (now: number): boolean => now - checkedAt >= bootClockCheckInterval,
    advance,
    noteDeviation: (now: number): void => {
      deviatedAt = now;
    },
    isReliable: (now: number): boolean => hasAgreed && now - deviatedAt >= bootClockDistrustTime,
  };
};

/** @returns A function that returns the time in milliseconds; it never goes back. */
export const createSteadyTime = (sources: ClockSources): (() => number) => {
  const { monotonic, wall } = sources;
  const bootClock = createBootClockMonitor(sources);
  let lastOffset = wall() - monotonic();
  let suspendedTime = 0;

  const addSuspension = (
    duration: number,
    byTimeOfDay: number,
    byClockSinceBoot: number | undefined,
  ): void => {
    suspendedTime += duration;
    writeLog("stood_still", {
      milliseconds: Math.round(duration),
      byTimeOfDay: Math.round(byTimeOfDay),
      byClockSinceBoot: byClockSinceBoot === undefined ? null : Math.round(byClockSinceBoot),
    });
  };

  const handleJump = (jump: number, now: number): void => {
    const change = bootClock.advance();
    if (change === undefined || !bootClock.isReliable(now)) addSuspension(jump, jump, change);
    else if (change > minClockJump) addSuspension(change, jump, change);
    else writeLog("time_set", { byTimeOfDay: Math.round(jump), byClockSinceBoot: Math.round(change) });
  };

  /** Detects a suspension during which the time of day was set back, and a clock since boot that is not reliable. */
  const checkBootClock = (now: number): void => {
    const change = bootClock.advance();
    if (change === undefined || Math.abs(change) <= bootClockTolerance) return;
    if (bootClock.isReliable(now) && change > minClockJump) addSuspension(change, 0, change);
    bootClock.noteDeviation(now);
  };

  return () => {
    const now = monotonic();
    const currentOffset = wall() - now;
    const jump = currentOffset - lastOffset;
    lastOffset = currentOffset;
    if (jump > minClockJump) handleJump(jump, now);
    else if (bootClock.isDue(now)) checkBootClock(now);
    return now + suspendedTime;
  };
};

/** The monotonic time of this process, suspensions included. Deadlines, leases and ages are compared by it. */
export const steadyNow = createSteadyTime({
  monotonic: () => performance.now(),
  wall: () => Date.now(),
  sinceBoot: () => uptime() * millisecondsPerSecond,
});
